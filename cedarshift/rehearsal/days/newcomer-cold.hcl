# A pilot restarted in a rolling deploy; the list tells no ages, and pilots share nothing.
rehearsal "newcomer-cold" {
  deployment  = "deployment-tiles.hcl"
  length      = "52s"
  endpoints   = 10
  proxies     = 6
  rate        = 130
  work        = "150ms"
  list_ages   = false
  learn       = false
  window_from = "18s"
  window_to   = "48s"
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
    speed = 0.8
    queue = 40
  }
  fault "deploy" {
    at    = "5s"
    count = 5
    every = "4s"
    drain = "8s"
  }
  fault "slow_endpoint" {
    at    = "8s"
    for   = "30s"
    which = 8
    times = 2.5
  }
  fault "kill_pilot" {
    at    = "14s"
    for   = "4s"
    which = 0
  }
}
