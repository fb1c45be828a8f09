"""Test the owner's parts without a platform."""
