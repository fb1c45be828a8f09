"""Publish the load of the pools while any of them is backlogged.

Load pattern: in bursts above the capacity of a pool, every entry instance needs to know
the backlog. At all other times no record is written.
"""

import asyncio
from collections.abc import Callable, Iterable

from baobablane.admission import (
    DrainMeter,
    LoadSummary,
    encode_load,
    summarize_load,
)
from baobablane.deployment import Instance
from baobablane.scheduling import Scheduler
from baobablane_platform import StoreFencedError, StoreSequenceError

from ..decision_log import DecisionLog
from ..jobs import LOAD_KEY, boot_seconds, unix_ms
from ._progress_writer import ProgressWriter

SUMMARY_INTERVAL_SECONDS = 0.25
# Two summaries; the average of a longer interval would hide the start of a burst.
PUBLICATION_INTERVAL_SUMMARIES = 2
# An owner publishes fewer records than this, so versions increase with its epoch.
VERSIONS_PER_EPOCH = 2**24


class LoadPublisher:
    """Summarize the load periodically and publish it."""

    def __init__(
        self,
        scheduler: Scheduler,
        instances: Callable[[], Iterable[Instance]],
        writer: ProgressWriter,
        log: DecisionLog,
        epoch: int,
    ) -> None:
        """Start without records; `instances` returns those that were last listed."""
        self._scheduler = scheduler
        self._instances = instances
        self._writer = writer
        self._log = log
        self._version = epoch * VERSIONS_PER_EPOCH
        self._meter = DrainMeter()
        self._summaries_until_due = 0
        # Whether the latest record of this owner has a backlogged pool.
        self._has_published_backlog = False

    async def run(self) -> None:
        """Publish until cancelled; raise StoreFencedError or StoreSequenceError."""
        while True:
            try:
                summary = self.summarize(boot_seconds(), unix_ms())
                if summary is not None:
                    await self._publish(summary)
            except (StoreFencedError, StoreSequenceError):
                raise
            except Exception as error:
                # Entry instances accept every job once the latest record is old.
                self._log.error("load-unpublished", error)
            await asyncio.sleep(SUMMARY_INTERVAL_SECONDS)

    def summarize(self, now: float, at_ms: int) -> LoadSummary | None:
        """Return the load if a record is due, and None otherwise.

        `now` is in seconds of the monotonic clock, `at_ms` in Unix milliseconds.
        """
        loads = summarize_load(
            self._scheduler, self._instances(), self._meter, now, at_ms
        )
        backlogged = {
            name: load for name, load in loads.items() if load.is_backlogged()
        }
        self._summaries_until_due -= 1
        if backlogged:
            if self._summaries_until_due > 0:
                return None
        elif not self._has_published_backlog:
            self._summaries_until_due = 0
            return None
        self._summaries_until_due = PUBLICATION_INTERVAL_SUMMARIES
        self._has_published_backlog = bool(backlogged)
        self._version += 1
        return LoadSummary(at_ms, self._version, backlogged)

    async def _publish(self, summary: LoadSummary) -> None:
        value = encode_load(summary)
        await self._writer.write({LOAD_KEY: value})
        self._writer.states.publish_load(value)
