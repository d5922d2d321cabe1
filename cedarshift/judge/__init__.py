"""Decision logic of the subsystems: pure state machines without I/O that read no clock; every call gets the
time.
"""
