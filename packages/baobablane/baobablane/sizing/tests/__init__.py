"""Test sizing."""
