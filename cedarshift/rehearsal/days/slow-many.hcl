# A third of the endpoints at a quarter of their speed, while seven tenths of what all could carry come.
rehearsal "slow-many" {
  like = "surge-quiet"
  rate = 84
  fault "slow_many" {
    at    = "8s"
    for   = "18s"
    count = 3
    times = 4
  }
  answer {
    cause_at     = "8s"
    calm_at      = "26s"
    repeats_most = 0.1
    earned_least = 0.5
  }
}
