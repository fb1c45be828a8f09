"""Test upkeep."""
