"""Membership among the pilots of one deployment: probes, the roll, what rides on the datagrams; who owns a slice is not its matter."""
