# As deployment-budgets, with cold endpoints claimed and moves at a time for the whole fleet.
deployment "claims" {
  slices       = 48
  zones        = ["north", "south", "east"]
  single_owner = true
  pick         = "even"
  intake_per_s = 150

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
    zone   = "north"
  }
  pilot "p1" {
    listen = "127.0.0.1:7101"
    zone   = "south"
  }
  pilot "p2" {
    listen = "127.0.0.1:7102"
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
    lines_per_s        = 4000
    lines_waiting_most = 6000
    lines_per_message  = 16
    transit_most       = "300ms"
  }
  proxy {
    lease          = "800ms"
    in_flight_most = "3100ms"
    buffer_for     = "200ms"
    connect_most   = "500ms"
    report_every   = "1s"
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
  budgets {
    lease       = "3s"
    proxy_lease = "1s"
    claim_cold  = true
    budget "moves" {
      use   = "handovers"
      held  = 6
      floor = 1
    }
    budget "repeats" {
      use      = "retries"
      rate     = 12
      burst    = "500ms"
      floor    = 1
      of_fresh = 0.2
    }
    budget "probes" {
      use  = "probes"
      rate = 6
    }
    budget "list" {
      use   = "list_calls"
      rate  = 12
      floor = 2
    }
    budget "dials" {
      use   = "store_dials"
      rate  = 12
      floor = 2
    }
  }
}
