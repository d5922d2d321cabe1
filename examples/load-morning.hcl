# A morning's load, for an endpoint, proxy or stand-in that takes POST /op on loopback; ten seconds.
load "morning" {
  targets  = ["127.0.0.1:9000"]
  rate     = 200
  length   = "10s"
  workers  = 2
  arrivals = "bursty"
  seed     = 1
  op_type "tile-fetch" {
    share      = 71
    op_timeout = "6s"
    work       = "5ms"
  }
  op_type "tile-order" {
    share      = 29
    op_timeout = "3s"
    work       = "8ms"
  }
  shape "ramp" {
    for  = "4s"
    from = 0.3
    to   = 1
  }
  shape "hot_key" {
    at    = "5s"
    for   = "2s"
    share = 0.3
  }
}
