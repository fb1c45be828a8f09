"""Stand in for the platform: its log, its instance list and its executors."""
