# Sessions expire in numbers and all together, while endpoints are replaced and killed.
rehearsal "zk-expiry-storm" {
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
  fault "expire" {
    at    = "5s"
    count = 10
  }
  fault "expire" {
    at    = "12s"
    count = 5
  }
  fault "deploy" {
    at    = "14s"
    count = 3
    every = "3s"
    drain = "8s"
  }
  fault "expire_all" { at = "20s" }
  fault "expire" {
    at    = "24s"
    count = 6
    which = 3
  }
  fault "kill_endpoint" {
    at    = "28s"
    for   = "3s"
    which = 2
  }
  fault "cut_list" {
    at    = "32s"
    for   = "6s"
    which = 0
    how   = "drop"
  }
  fault "kill_endpoint" {
    at    = "34s"
    for   = "4s"
    which = 5
  }
  fault "expire_all" { at = "42s" }
}
