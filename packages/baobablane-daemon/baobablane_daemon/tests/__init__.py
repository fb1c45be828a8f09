"""Test whole entry instances."""
