# Every rule is broken on purpose, so that each checker is seen to fire: a proxy that acks orders and keeps its old lines
# (drains, one owner), one that forgets its tables, some that send everything to a cold endpoint, pilots without a limit.
rehearsal "broken" {
  deployment = "deployment-tight.hcl"
  length     = "34s"
  endpoints  = 6
  proxies    = 5
  rate       = 80
  work       = "150ms"
  broken     = ["nobody-without", "one-owner", "drains", "no-cold-pushed", "short-queue"]
  op_share "tile-fetch" { share = 60 }
  op_share "tile-order" { share = 40 }
  fault "bad_proxy" {
    at    = "1s"
    which = 0
    how   = "deaf"
  }
  fault "bad_proxy" {
    at    = "12s"
    which = 1
    how   = "forgetful"
  }
  fault "bad_proxy" {
    at    = "1s"
    which = 2
    how   = "pushy"
  }
  fault "bad_proxy" {
    at    = "1s"
    which = 3
    how   = "pushy"
  }
  fault "bad_proxy" {
    at    = "1s"
    which = 4
    how   = "pushy"
  }
  fault "loose_pilots" {
    at = "0s"
  }
  fault "deploy" {
    at    = "3s"
    count = 2
    every = "4s"
    drain = "14s"
  }
}
