"""Test scheduling."""
