"""Test the planning of maintenance."""
