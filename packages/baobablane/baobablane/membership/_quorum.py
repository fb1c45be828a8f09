"""Compute the size of a quorum of entry instances."""


def quorum_size(entry_instances: int) -> int:
    """Return the size of a majority of `entry_instances` instances."""
    return entry_instances // 2 + 1
