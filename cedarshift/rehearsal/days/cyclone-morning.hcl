# A cyclone-season morning: a rolling deploy meets a burst, a hot district and traffic turning to one site, while a pilot,
# the store, a gateway and tile servers fail, links slow down and the list goes dark and lies.
rehearsal "cyclone-morning" {
  deployment = "deployment-cyclone.hcl"
  length     = "150s"
  seed       = 7
  endpoints  = 14
  proxies    = 8
  clients    = 2
  rate       = 110
  work       = "150ms"
  keys       = 4000
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
  endpoint_kind "big-fast" {
    share = 1
    cores = 6
    speed = 1.2
    queue = 60
  }
  endpoint_kind "small" {
    share = 2
    cores = 3
    speed = 1.0
    queue = 40
  }
  endpoint_kind "big-slow" {
    share = 1
    cores = 6
    speed = 0.7
    queue = 60
  }
  fault "deploy" {
    at    = "6s"
    count = 4
    every = "5s"
    drain = "9s"
  }
  fault "burst" {
    at    = "15s"
    for   = "10s"
    times = 1.5
  }
  fault "kill_pilot_in_order" {
    at    = "16s"
    for   = "10s"
    which = 0
    after = 4
  }
  fault "hot_key" {
    at    = "38s"
    for   = "12s"
    share = 0.15
  }
  fault "hang" {
    at    = "42s"
    for   = "6s"
    which = 3
  }
  fault "reconnect" {
    at    = "52s"
    share = 0.6
  }
  fault "reload_pilot" {
    at    = "53s"
    which = 1
  }
  fault "shift" {
    at   = "56s"
    for  = "15s"
    zone = "north"
  }
  fault "kill_proxy" {
    at    = "60s"
    for   = "3s"
    which = 2
  }
  fault "cut_proxies" {
    at    = "66s"
    for   = "6s"
    count = 2
    how   = "drop"
  }
  fault "kill_store" {
    at  = "76s"
    for = "1500ms"
  }
  fault "slow_link" {
    at    = "82s"
    for   = "8s"
    from  = "north"
    to    = "south"
    delay = "300ms"
  }
  fault "list_unreachable" {
    at  = "90s"
    for = "8s"
  }
  fault "kill_endpoint" {
    at    = "92s"
    for   = "5s"
    which = 5
  }
  fault "pause_pilot" {
    at    = "104s"
    for   = "5s"
    which = 1
  }
  fault "cut_store" {
    at    = "118s"
    for   = "5s"
    which = 2
    how   = "drop"
  }
  fault "fast_errors" {
    at    = "128s"
    for   = "6s"
    which = 7
    share = 1
  }
  fault "slow_channel" {
    at    = "136s"
    for   = "6s"
    delay = "200ms"
  }
}
