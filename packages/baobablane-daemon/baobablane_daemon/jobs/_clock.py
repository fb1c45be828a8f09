"""Read the time of day, and a monotonic clock that includes suspended time."""

import time


def boot_seconds() -> float:
    """Return the seconds of a monotonic clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return round(time.time() * 1000)
