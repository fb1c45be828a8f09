"""Publish the states of jobs for entry instances with narrow links.

Load pattern: in a burst, the owner records each start and end, and a job's record is
repeated some twenty times. An entry instance with 10 Mbit/s falls seconds behind, and
shows jobs as completed long after their end. A state takes 22 bytes, twice a job.
"""

import asyncio
from collections.abc import Mapping

from baobablane.jobs import JobState
from baobablane_platform import KeyedRecord, StoreClient

from ..jobs import LOAD_KEY, OWNER_HEARTBEAT_KEY, STATES_TOPIC
from ._fenced_appender import FencedAppender

# Well below the store's limit for one call.
MAX_RECORDS_PER_APPEND = 5_000


class StatePublisher:
    """Append states that are already recorded as progress, in batches."""

    def __init__(self, store: StoreClient, epoch: int, sequence: int) -> None:
        """Publish nothing until `activate`; records are appended only by `run`."""
        self._appender = FencedAppender(store, STATES_TOPIC, epoch, sequence)
        self._states: dict[str, JobState] = {}
        self._unsent: dict[str, bytes | None] = {}
        self._wake = asyncio.Event()
        self.is_active = False

    def activate(self, state_by_id: Mapping[str, JobState]) -> None:
        """Publish all recorded states, and from then on each change."""
        if self.is_active:
            return
        self.is_active = True
        # What this owner has recorded is at least as new as what was read.
        states, self._states = {**state_by_id, **self._states}, {}
        self.publish(states)

    def publish(self, state_by_id: Mapping[str, JobState]) -> None:
        """Publish the states that have changed."""
        for job_id, state in state_by_id.items():
            if state is not JobState.PENDING and self._states.get(job_id) != state:
                self._states[job_id] = state
                if self.is_active:
                    self._add(job_id, b"%d" % state)

    def publish_heartbeat(self, value: bytes) -> None:
        """Publish the value of a heartbeat that is recorded."""
        if self.is_active:
            self._add(OWNER_HEARTBEAT_KEY, value)

    def publish_load(self, value: bytes) -> None:
        """Publish the value of a load record that is recorded."""
        if self.is_active:
            self._add(LOAD_KEY, value)

    def delete(self, job_ids: list[str]) -> None:
        """Delete the states of jobs."""
        for job_id in job_ids:
            self._states.pop(job_id, None)
            if self.is_active:
                self._add(job_id, None)

    async def run(self) -> None:
        """Append until cancelled, or raise StoreFencedError or StoreSequenceError."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self.flush()

    async def flush(self) -> None:
        """Append all that is published; raise the errors of `run`."""
        while self._unsent:
            keys = list(self._unsent)[:MAX_RECORDS_PER_APPEND]
            records = [KeyedRecord(key, self._unsent.pop(key)) for key in keys]
            await self._appender.append(records)

    def _add(self, key: str, value: bytes | None) -> None:
        self._unsent[key] = value
        self._wake.set()
