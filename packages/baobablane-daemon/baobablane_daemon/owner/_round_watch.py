"""Measure the owner's rounds, and tell what held one."""

from collections.abc import Iterator
from contextlib import contextmanager

from ..decision_log import DecisionLog
from ..jobs import boot_seconds
from ._progress_writer import HEARTBEAT_INTERVAL_SECONDS

# A longer round delays the next heartbeat. It also bounds the number of lines.
MAX_ROUND_SECONDS = HEARTBEAT_INTERVAL_SECONDS


class RoundWatch:
    """Time the steps of one round after the other."""

    def __init__(self, log: DecisionLog) -> None:
        """Start without a round; held rounds are written to `log`."""
        self._log = log
        self._seconds_by_step: dict[str, float] = {}
        self._step = ""
        self._step_began_at = 0.0

    @contextmanager
    def round(self) -> Iterator[None]:
        """Time one round, and log it if it took longer than MAX_ROUND_SECONDS.

        An error or the cancellation of the round ends it as well.
        """
        self._seconds_by_step.clear()
        began_at = self._step_began_at = boot_seconds()
        try:
            yield
        finally:
            self.enter("")
            self._report(boot_seconds() - began_at)

    def enter(self, step: str) -> None:
        """End the current step of the round, and begin the next one."""
        now = boot_seconds()
        seconds = self._seconds_by_step.get(self._step, 0.0)
        self._seconds_by_step[self._step] = seconds + now - self._step_began_at
        self._step, self._step_began_at = step, now

    def _report(self, seconds: float) -> None:
        self._log.metrics.round_seconds.observe(seconds)
        if seconds <= MAX_ROUND_SECONDS:
            return
        step, step_seconds = max(
            self._seconds_by_step.items(), key=lambda item: item[1]
        )
        self._log.info(
            "round-held",
            step=step,
            step_seconds=round(step_seconds, 3),
            seconds=round(seconds, 3),
        )
