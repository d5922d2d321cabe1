# As zk-losses, with a list service that hears of it 6 s late.
rehearsal "list-losses" {
  like = "zk-losses"
  roster = "service"
  notice = "6s"
}
