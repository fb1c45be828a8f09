"""Test entry instances as members of a cluster."""
