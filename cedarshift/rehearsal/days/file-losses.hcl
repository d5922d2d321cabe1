# As zk-losses, with a list in a file that an operator tool writes 2 s after the fact.
rehearsal "file-losses" {
  deployment = "deployment-tiles.hcl"
  length     = "62s"
  endpoints  = 10
  proxies    = 6
  rate       = 90
  work       = "150ms"
  roster     = "file"
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
  endpoint_kind "usual" {
    cores = 4
    speed = 1
    queue = 60
  }
  fault "kill_endpoint" {
    at    = "4s"
    for   = "6s"
    which = 0
  }
  fault "kill_endpoint" {
    at    = "8s"
    for   = "6s"
    which = 3
  }
  fault "deploy" {
    at    = "10s"
    count = 5
    every = "9s"
    drain = "8s"
  }
  fault "kill_endpoint" {
    at    = "16s"
    for   = "6s"
    which = 5
  }
  fault "kill_endpoint" {
    at    = "22s"
    for   = "6s"
    which = 2
  }
  fault "kill_endpoint" {
    at    = "30s"
    for   = "6s"
    which = 6
  }
  fault "kill_endpoint" {
    at    = "38s"
    for   = "6s"
    which = 1
  }
  fault "kill_endpoint" {
    at    = "46s"
    for   = "6s"
    which = 4
  }
}
