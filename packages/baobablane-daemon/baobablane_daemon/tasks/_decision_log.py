"""Write one JSON line for each routing and placement decision."""

import asyncio
import logging
import sys
from collections import deque
from collections.abc import Iterable, Iterator
from time import time
from typing import BinaryIO

import msgspec
from pythonjsonlogger.json import JsonFormatter

from ._process_metrics import ProcessMetrics

MAX_EXPLAINABLE_DECISIONS = 10_000
# Lines that are written at once; more would hold up the process. The rest is counted.
MAX_LINES_PER_FLUSH = 2_000
FLUSH_INTERVAL_SECONDS = 0.1
# Bytes that a pipe takes at once (PIPE_BUF): a larger write may be cut in a line.
MAX_WRITE_BYTES = 4_096


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

    def __init__(self, instance: str, stream: BinaryIO | None = None) -> None:
        """Log to a stream, by default to standard output."""
        self._stream: BinaryIO = stream or sys.stdout.buffer
        handler = _LineHandler(self._stream)
        handler.setFormatter(
            JsonFormatter(
                "%(message)s",
                timestamp=True,
                rename_fields={"message": "event"},
                static_fields={"instance": instance},
            )
        )
        self._logger = logging.getLogger("baobablane")
        self._logger.handlers = [handler]
        self._logger.propagate = False
        self._logger.setLevel(logging.INFO)
        self._latest: deque[Decision] = deque(maxlen=MAX_EXPLAINABLE_DECISIONS)
        self._unwritten: list[Decision] = []
        self._encoder = msgspec.json.Encoder()
        self.metrics = ProcessMetrics()

    async def run(self) -> None:
        """Write decisions until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write the decisions taken since the last time."""
        if not self._unwritten:
            return
        dropped = len(self._unwritten) - MAX_LINES_PER_FLUSH
        if dropped > 0:
            self.metrics.unwritten_lines.inc(dropped)
            del self._unwritten[MAX_LINES_PER_FLUSH:]
            self._unwritten.append(Decision("lines-left-out", reason=str(dropped)))
        lines = [self._encoder.encode(decision) for decision in self._unwritten]
        self._unwritten = []
        for chunk in _batch_lines(lines):
            self._stream.write(chunk)
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
        return [
            decision
            for decision in self._latest
            if name in (decision.request, decision.upstream)
        ]


class _LineHandler(logging.Handler):
    """Write each record as a line of bytes."""

    def __init__(self, stream: BinaryIO) -> None:
        super().__init__()
        self._stream = stream

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record at once."""
        self._stream.write(self.format(record).encode() + b"\n")
        self._stream.flush()


def _batch_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Yield pieces of whole lines, each small enough for a pipe if a line is."""
    chunk = bytearray()
    for line in lines:
        if chunk and len(chunk) + len(line) >= MAX_WRITE_BYTES:
            yield bytes(chunk)
            chunk.clear()
        chunk += line
        chunk += b"\n"
    if chunk:
        yield bytes(chunk)
