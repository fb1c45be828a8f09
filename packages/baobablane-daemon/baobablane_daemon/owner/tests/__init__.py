"""Test the parts of the owner."""
