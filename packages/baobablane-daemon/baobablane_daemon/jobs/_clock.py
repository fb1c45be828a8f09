"""Read the time of day, and a monotonic clock that includes suspended time."""

import math
import time


def boot_seconds() -> float:
    """Return the seconds of a monotonic clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return round(time.time() * 1000)


def loggable_age(seconds: float) -> float | None:
    """Return an age rounded to milliseconds, or None if it is infinite.

    JSON has no infinity.
    """
    return round(seconds, 3) if math.isfinite(seconds) else None
