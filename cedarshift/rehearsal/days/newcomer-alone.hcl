# As newcomer-misled, but pilots share nothing: what the misled one must not be worse than.
rehearsal "newcomer-alone" {
  like = "newcomer-cold"
  fault "cut_list" {
    at    = "3s"
    for   = "34s"
    which = 1
  }
}
