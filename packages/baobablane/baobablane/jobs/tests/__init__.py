"""Test jobs."""
