"""Test the stand-in platform."""
