"""Scripted days on loopback: processes brought up, faults injected, what passed recorded, the rules checked from that."""
