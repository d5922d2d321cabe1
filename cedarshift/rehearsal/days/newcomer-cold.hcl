# A pilot restarted in a rolling deploy; the list tells no ages, and pilots share nothing.
rehearsal "newcomer-cold" {
  like = "newcomer-spared"
  fault "kill_pilot" {
    at    = "14s"
    for   = "4s"
    which = 0
  }
}
