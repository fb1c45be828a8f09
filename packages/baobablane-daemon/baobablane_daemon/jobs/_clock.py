"""Tell the time that passes while an instance is suspended, too."""

import time


def boot_seconds() -> float:
    """Return seconds of a steady clock that counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return round(time.time() * 1000)
