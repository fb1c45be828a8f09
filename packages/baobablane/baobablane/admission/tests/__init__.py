"""Test the rejection of jobs for load."""
