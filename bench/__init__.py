"""Measure throughput, latency, decision costs, fairness and roll-out times."""
