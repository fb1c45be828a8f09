"""Decide capacity, maintenance, limits and routing for a fleet, without I/O."""
