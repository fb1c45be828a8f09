"""Measure the path and the cost of decisions."""
