"""Test how every entry instance follows the store."""
