# A third of the endpoints fail everything and are well again, every two seconds.
rehearsal "probe-storm" {
  like = "surge-quiet"
  fault "flap" {
    at    = "8s"
    for   = "16s"
    count = 3
    every = "2s"
  }
  answer {
    cause_at     = "8s"
    calm_at      = "24s"
    repeats_most = 0.1
  }
}
