"""Size the quorum of entry instances."""


def quorum_size(entry_instances: int) -> int:
    """Return how many of the at most `entry_instances` make a majority."""
    return entry_instances // 2 + 1
