# The store and two of three pilots are killed at once, and come back at once, within the lease of the third: it must keep its charge.
rehearsal "herd" {
  like = "surge-quiet"
  fault "herd" {
    at  = "10s"
    for = "1s"
  }
  answer {
    cause_at     = "10s"
    calm_at      = "17s"
    back_within  = "5s"
    repeats_most = 0.1
  }
}
