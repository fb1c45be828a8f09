"""Test what every entry instance does with jobs."""
