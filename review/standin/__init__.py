"""Stand-ins for the platform, its executors and its clients, for the scripts here."""
