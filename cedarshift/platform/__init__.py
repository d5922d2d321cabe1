"""Runs the decision module `brain.Pilot` as a process: relay, discovery, collectors and signals."""
