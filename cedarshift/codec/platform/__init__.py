"""The first users' platform as bytes: frames, reports, orders, answers, news, list lines, settings. Its words end here."""
