"""The door to the first users' platform: relay, discovery, collectors, start and signals, around `brain.Pilot`."""
