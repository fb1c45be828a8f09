"""Test the parts of the owner one by one."""
