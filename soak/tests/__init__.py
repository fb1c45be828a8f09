"""Test the parts of the soak."""
