"""Read the time of day, and a clock that also counts suspensions."""

import time


def boot_seconds() -> float:
    """Return the seconds of a monotonic clock that also counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return round(time.time() * 1000)
