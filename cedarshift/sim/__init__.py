"""Deterministic simulation: the whole program in one process on a virtual clock, under faults from a seed."""
