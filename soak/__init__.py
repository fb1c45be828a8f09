"""Run the real processes under injected faults and check what must always hold."""
