"""Learn how long tasks run in relation to their declared time.

Load pattern: the declared times of a queue's jobs are wrong by up to a factor of two,
in either direction, so jobs are taken for late while they could still be in time, or
for in time when they no longer can.
"""

import math

# Fraction of the distance to a measured ratio that one end moves the learned ratio.
LEARNING_RATE = 0.2
# Bound on how far one end moves the learned ratio, so that one stalled run does not
# change the order of a whole queue.
MAX_MOVE_PER_END = 0.1
# Bounds on the learned ratio; declared times were seen to be wrong by a factor of two.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# The ratio in use follows the learned one once they differ by this factor. Each change
# makes the scheduler measure all jobs again.
MIN_CHANGE = 1.05


class RunTimes:
    """Hold the ratio of measured to declared time by queue and image."""

    def __init__(self) -> None:
        """Start with declared times taken as true."""
        # Counts the changes of ratios in use.
        self.version = 0
        self._learned: dict[tuple[str, str], float] = {}
        self._in_use: dict[tuple[str, str], float] = {}

    def observe(
        self, queue: str, image: str, measured_seconds: float, declared_seconds: float
    ) -> None:
        """Learn from the end of a run that was done."""
        if measured_seconds <= 0.0 or declared_seconds <= 0.0:
            return
        key = (queue, image)
        ratio = self._learned.get(key, 1.0)
        move = LEARNING_RATE * math.log(measured_seconds / declared_seconds / ratio)
        move = max(-MAX_MOVE_PER_END, min(MAX_MOVE_PER_END, move))
        ratio = max(MIN_RATIO, min(MAX_RATIO, ratio * math.exp(move)))
        self._learned[key] = ratio
        change = ratio / self._in_use.get(key, 1.0)
        if not 1 / MIN_CHANGE <= change <= MIN_CHANGE:
            self._in_use[key] = ratio
            self.version += 1

    def ratio(self, queue: str, image: str) -> float:
        """Return the factor by which to multiply a declared time."""
        return self._in_use.get((queue, image), 1.0)
