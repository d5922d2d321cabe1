# All endpoints hang for five seconds at eight tenths of what they can carry; clients come again and again.
rehearsal "retry-storm" {
  like = "surge-quiet"
  rate = 94
  fault "outage" {
    at  = "10s"
    for = "5s"
  }
  answer {
    cause_at     = "10s"
    calm_at      = "15s"
    back_within  = "5s"
    repeats_most = 0.1
  }
}
