# Budgets of three pilots while a pilot is killed, another stopped, the store killed, a pilot cut from it, and endpoints hang.
rehearsal "budgets-day" {
  deployment = "deployment-budgets.hcl"
  length     = "45s"
  seed       = 1
  endpoints  = 9
  proxies    = 6
  rate       = 90
  work       = "150ms"
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
  endpoint_kind "plain" {
    cores = 4
    speed = 1
    queue = 40
  }
  fault "kill_pilot" {
    at    = "6s"
    for   = "4s"
    which = 0
  }
  fault "hang" {
    at    = "10s"
    for   = "6s"
    which = 3
  }
  fault "pause_pilot" {
    at    = "15s"
    for   = "5s"
    which = 1
  }
  fault "kill_endpoint" {
    at    = "20s"
    for   = "4s"
    which = 1
  }
  fault "kill_store" {
    at  = "25s"
    for = "2s"
  }
  fault "kill_pilot" {
    at    = "25s"
    for   = "2s"
    which = 2
  }
  fault "cut_store" {
    at    = "32s"
    for   = "4s"
    which = 0
  }
  fault "kill_endpoint" {
    at    = "36s"
    for   = "3s"
    which = 5
  }
}
