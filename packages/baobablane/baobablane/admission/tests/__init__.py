"""Test the sizing of pools."""
