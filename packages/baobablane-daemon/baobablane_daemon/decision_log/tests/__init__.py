"""Test the daemon's decision log."""
