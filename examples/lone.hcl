# One pilot with its store inside, the list of endpoints from a file beside this one.
deployment "lone" {
  slices       = 32
  zones        = ["north", "south"]
  single_owner = true
  pick         = "even"

  op_type "tile-fetch" {
    target_latency = "2s"
    op_timeout     = "6s"
    earnings       = 3
    repeats        = "retryable"
  }
  op_type "tile-order" {
    target_latency = "2s"
    op_timeout     = "3s"
    earnings       = 2
    repeats        = "once-only"
    writes         = true
  }

  pilot "p0" {
    listen = "127.0.0.1:7100"
    admin  = "127.0.0.1:7180"
    zone   = "north"
  }
  store {
    listen   = "127.0.0.1:7000"
    path     = "lone-store.db"
    embedded = true
  }
  list {
    file = "lone-endpoints.json"
  }
  proxy {
    in_flight_most = "3200ms"
  }
}
