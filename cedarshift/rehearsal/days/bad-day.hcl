# A rolling deploy, a pilot killed halfway through sending an order, a hang, a hot key; replies cut in the middle.
rehearsal "bad-day" {
  deployment = "deployment-tiles.hcl"
  length     = "60s"
  seed       = 1
  endpoints  = 10
  proxies    = 6
  rate       = 90
  work       = "150ms"
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
  endpoint_kind "big" {
    share = 1
    cores = 6
    speed = 1.1
    queue = 60
  }
  endpoint_kind "small" {
    share = 2
    cores = 3
    speed = 0.9
    queue = 40
  }
  fault "cut_replies" {
    at    = "4s"
    for   = "6s"
    which = 5
    share = 0.2
  }
  fault "deploy" {
    at    = "8s"
    count = 3
    every = "5s"
    drain = "8s"
  }
  fault "kill_pilot_in_order" {
    at    = "11s"
    for   = "8s"
    which = 0
    after = 3
  }
  fault "hang" {
    at    = "28s"
    for   = "6s"
    which = 4
  }
  fault "hot_key" {
    at    = "36s"
    for   = "12s"
    share = 0.2
  }
  fault "kill_store" {
    at  = "44s"
    for = "1s"
  }
  fault "kill_endpoint" {
    at    = "48s"
    for   = "4s"
    which = 2
  }
}
