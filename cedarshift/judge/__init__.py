"""Decisions of the subsystems around the pilot's module: no I/O, and no clock but the time passed in."""
