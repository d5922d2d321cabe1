# As newcomer-taught, but the pilot that teaches has been cut off from its list since 3 s.
rehearsal "newcomer-misled" {
  like = "newcomer-alone"
  learn = true
}
