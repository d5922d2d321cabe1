"""Open-loop load generator: generated or recorded arrivals, latencies measured from the intended start."""
