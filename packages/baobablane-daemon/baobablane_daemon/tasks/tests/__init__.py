"""Test the tasks of a process."""
