"""Decide capacity, maintenance, limits and routing for a fleet, without network I/O."""
