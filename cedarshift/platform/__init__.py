"""Runs `brain.Pilot` at the platform: relay, discovery, collectors, process start and signals."""
