"""Simulate the platform's log, instance list and executors for tests."""
