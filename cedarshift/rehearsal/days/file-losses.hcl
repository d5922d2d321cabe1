# As zk-losses, with a list in a file that an operator tool writes 2 s after the fact.
rehearsal "file-losses" {
  like = "zk-losses"
  roster = "file"
}
