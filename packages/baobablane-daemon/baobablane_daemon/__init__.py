"""Run an entry instance: carry out what the decisions package decides."""
