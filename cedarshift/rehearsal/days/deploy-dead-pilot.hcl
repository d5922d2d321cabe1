# A rolling deploy, most of it while one of three pilots is dead: what a dead pilot would have warmed has to be warmed by the others.
rehearsal "deploy-dead-pilot" {
  deployment = "deployment-claims.hcl"
  length     = "48s"
  seed       = 1
  endpoints  = 9
  proxies    = 6
  rate       = 150
  work       = "150ms"
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
  endpoint_kind "plain" {
    cores = 4
    speed = 1
    queue = 40
  }
  fault "kill_pilot" {
    at    = "4s"
    for   = "36s"
    which = 1
  }
  fault "deploy" {
    at    = "8s"
    count = 7
    every = "3s"
    drain = "5s"
  }
}
