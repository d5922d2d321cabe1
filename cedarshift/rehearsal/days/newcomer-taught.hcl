# As newcomer-cold, but the restarted pilot learns from the one that ran on.
rehearsal "newcomer-taught" {
  like = "newcomer-cold"
  learn = true
}
