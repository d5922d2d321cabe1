# Nine endpoints that can carry some 120 ops a second, asked for 66: what the days of overload are held against, and build on.
rehearsal "surge-quiet" {
  deployment = "deployment-surge.hcl"
  length     = "40s"
  seed       = 1
  endpoints  = 9
  proxies    = 20
  rate       = 66
  work       = "300ms"
  retries    = 4
  op_share "tile-fetch" { share = 60 }
  op_share "tile-order" { share = 40 }
  endpoint_kind "plain" {
    cores = 4
    speed = 1
    queue = 40
  }
}
