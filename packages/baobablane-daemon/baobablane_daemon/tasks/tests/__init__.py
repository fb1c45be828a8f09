"""Test the tasks that own connections and output streams."""
