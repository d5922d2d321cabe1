# A pilot is stopped through the flood and wakes with its old picture.
rehearsal "stopped" {
  like = "flood"
  fault "pause_pilot" {
    at    = "7s"
    for   = "14s"
    which = 1
  }
}
