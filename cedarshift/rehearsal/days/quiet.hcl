# Nothing goes wrong.
rehearsal "quiet" {
  deployment = "deployment-tiles.hcl"
  length     = "20s"
  endpoints  = 8
  proxies    = 5
  rate       = 80
  work       = "150ms"
  op_share "tile-fetch" { share = 71 }
  op_share "tile-order" { share = 29 }
}
