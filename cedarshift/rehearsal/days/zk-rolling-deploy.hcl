# A rolling deploy whose members keep ephemeral nodes, while sessions expire and servers lag and are cut off.
rehearsal "zk-rolling-deploy" {
  deployment = "deployment-tiles.hcl"
  length     = "52s"
  endpoints  = 10
  proxies    = 6
  rate       = 110
  work       = "150ms"
  roster     = "zookeeper"
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
  endpoint_kind "usual" {
    cores = 4
    speed = 1
    queue = 60
  }
  fault "deploy" {
    at    = "5s"
    count = 6
    every = "3s"
    drain = "8s"
  }
  fault "expire" {
    at    = "12s"
    count = 3
  }
  fault "expire_pilot" {
    at    = "16s"
    which = 1
  }
  fault "kill_endpoint" {
    at    = "20s"
    for   = "3s"
    which = 4
  }
  fault "cut_server" {
    at    = "26s"
    for   = "5s"
    which = 1
  }
  fault "lag_server" {
    at    = "34s"
    for   = "6s"
    which = 2
    delay = "2s"
  }
}
