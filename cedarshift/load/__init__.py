"""Load as it comes: arrivals that wait for nobody, traces, latencies counted from when an op was meant to start."""
