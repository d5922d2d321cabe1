# The tile service with three pilots that answer overload as one. Addresses and the list's source are replaced by the rehearsal.
deployment "surge" {
  slices       = 48
  zones        = ["north", "south", "east"]
  single_owner = true
  pick         = "even"
  intake_per_s = 300

  op_type "tile-fetch" {
    target_latency = "2s"
    op_timeout     = "6s"
    earnings       = 3
    late_share     = 0.15
    repeats        = "retryable"
  }
  op_type "tile-order" {
    target_latency = "2s"
    op_timeout     = "3s"
    earnings       = 2
    late_share     = 0.15
    repeats        = "once-only"
    writes         = true
  }

  pilot "p0" {
    listen = "127.0.0.1:7100"
    gossip = "127.0.0.1:7110"
    zone   = "north"
  }
  pilot "p1" {
    listen = "127.0.0.1:7101"
    gossip = "127.0.0.1:7111"
    zone   = "south"
  }
  pilot "p2" {
    listen = "127.0.0.1:7102"
    gossip = "127.0.0.1:7112"
    zone   = "east"
  }
  store {
    listen        = "127.0.0.1:7000"
    path          = "store.db"
    session_lease = "2s"
    takeover      = "500ms"
    back_after    = "3s"
  }
  list {
    service = "127.0.0.1:7200"
  }
  channel {
    lines_per_s        = 8000
    lines_waiting_most = 12000
    lines_per_message  = 16
    transit_most       = "300ms"
  }
  proxy {
    lease          = "800ms"
    in_flight_most = "3100ms"
    buffer_for     = "200ms"
    connect_most   = "500ms"
    report_every   = "500ms"
    apply_cost     = "40us"
  }
  rules {
    empty_for    = "12s"
    drain_grace  = "4s"
    warm_within  = "15s"
    cold_share   = 0.2
    tip_multiple = 3
    tip_after    = "1500ms"
  }
  membership {
    period = "500ms"
  }
  overload {
    op "tile-fetch" { cost = 1 }
    op "tile-order" { cost = 1 }
  }
}
