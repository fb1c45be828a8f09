"""Write one JSON line for each routing and placement decision."""

import asyncio
import logging
import sys
from collections import deque
from time import time
from typing import BinaryIO

import msgspec
from pythonjsonlogger.json import JsonFormatter

from ._process_metrics import ProcessMetrics

EXPLAINABLE_DECISIONS = 10_000
# Lines that are written at once; more would hold up the process. The rest is counted.
MOST_LINES = 2_000
FLUSH_SECONDS = 0.1


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one decision as it is logged."""

    event: str
    request: str = ""
    attempt: str = ""
    team: str = ""
    queue: str = ""
    upstream: str = ""
    zone: str = ""
    reason: str = ""
    result: int = 0
    seconds: float = 0.0
    # Seconds since the epoch.
    at: float = msgspec.field(default_factory=time)


class DecisionLog:
    """Hold the logger of this process, its latest decisions and unwritten lines."""

    # Decisions are encoded in bulk: a log record for each would take longer than
    # the decision.

    def __init__(self, instance: str) -> None:
        """Log to standard output."""
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(
            JsonFormatter(
                "%(message)s", timestamp=True, static_fields={"instance": instance}
            )
        )
        self._logger = logging.getLogger("baobablane")
        self._logger.handlers = [handler]
        self._logger.propagate = False
        self._logger.setLevel(logging.INFO)
        self._stream: BinaryIO = sys.stdout.buffer
        self._latest: deque[Decision] = deque(maxlen=EXPLAINABLE_DECISIONS)
        self._unwritten: list[Decision] = []
        self._encoder = msgspec.json.Encoder()
        self.metrics = ProcessMetrics()

    async def run(self) -> None:
        """Write decisions until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write the decisions taken since the last time."""
        if not self._unwritten:
            return
        left_out = len(self._unwritten) - MOST_LINES
        if left_out > 0:
            self.metrics.unwritten_lines.inc(left_out)
            del self._unwritten[MOST_LINES:]
            self._unwritten.append(Decision("lines-left-out", reason=str(left_out)))
        lines = self._encoder.encode_lines(self._unwritten)
        self._unwritten = []
        self._stream.write(lines)
        self._stream.flush()

    def write(self, decision: Decision) -> None:
        """Log a decision and keep it for `explain`."""
        self.metrics.count(decision.event)
        self._latest.append(decision)
        self._unwritten.append(decision)

    def info(self, event: str, **fields: object) -> None:
        """Log something that is no decision."""
        self.metrics.count(event)
        self.flush()
        self._logger.info(event, extra=fields)

    def explain(self, name: str) -> list[Decision]:
        """Return the latest decisions for a request or an upstream."""
        return [d for d in self._latest if name in (d.request, d.upstream)]
