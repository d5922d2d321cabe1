# Two of the days of overload over each other, drawn by the seed.
rehearsal "surge-mix" {
  like   = "surge-quiet"
  length = "60s"
  mix    = ["flood", "retry-storm", "probe-storm", "herd", "slow-many"]
  answer {
    cause_at     = "8s"
    calm_at      = "34s"
    back_within  = "10s"
    repeats_most = 0.15
  }
}
