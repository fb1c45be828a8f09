"""Log each routing and placement decision as a line of JSON."""

import asyncio
import logging
import sys
import traceback
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from time import time
from typing import BinaryIO

import msgspec
from pythonjsonlogger.json import JsonFormatter

from ._bounded_line import MAX_LINE_BYTES, bound_line
from ._line_output import LineOutput
from ._process_metrics import ProcessMetrics

MAX_EXPLAINABLE_DECISIONS = 10_000
# Writing more lines per flush would block the process; the rest are only counted.
MAX_LINES_PER_FLUSH = 2_000
FLUSH_INTERVAL_SECONDS = 0.1


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent one decision in its logged form."""

    event: str
    request: str = ""
    attempt: str = ""
    team: str = ""
    queue: str = ""
    upstream: str = ""
    zone: str = ""
    reason: str = ""
    result: int = 0
    # Duration or age that the event reports.
    seconds: float = 0.0
    # Of the upstream, in Unix milliseconds.
    incarnation: int = 0
    # Other runs on the upstream, as `job.occurrence.step.position#run`.
    beside: tuple[str, ...] = ()
    # Work lost in a crash.
    core_seconds: float = 0.0
    # Of a task that is placed: group of its job, and the jobs of its queue before it.
    group: str = ""
    position: int = 0
    # Expected end of a job in Unix milliseconds, told at its first start.
    predicted_ms: int = 0
    # Of a completed job: in time, late or useless.
    outcome: str = ""
    # Of a job that is rejected for load: the core-seconds that go first, the predicted
    # seconds to its completion, the version of the load record, and Retry-After.
    ahead_core_seconds: float = 0.0
    predicted_seconds: float = 0.0
    load_version: int = 0
    retry_after_seconds: int = 0
    # Of a waiting task: its latest run, and the bound that holds it.
    wait: Mapping[str, object] | None = None
    # Unix time in seconds.
    at: float = msgspec.field(default_factory=time)


class DecisionLog:
    """Log the events of a process and keep its latest decisions for `explain`."""

    # Decisions bypass the logging module and are encoded in bulk, since creating a log
    # record takes longer than making the decision.

    def __init__(self, instance: str, stream: BinaryIO | None = None) -> None:
        """Log to a stream, by default standard output."""
        self.metrics = ProcessMetrics()
        self._output = LineOutput(
            stream or sys.stdout.buffer, self.metrics.unwritten_lines
        )
        handler = _LineHandler(self._output)
        handler.setFormatter(
            JsonFormatter(
                "%(message)s",
                timestamp=True,
                rename_fields={"message": "event"},
                static_fields={"instance": instance},
            )
        )
        self._logger = logging.getLogger("baobablane")
        self._logger.setLevel(logging.INFO)
        # The server would write to standard error, and wait for its reader.
        for logger in (self._logger, logging.getLogger("uvicorn")):
            logger.handlers = [handler]
            logger.propagate = False
        self._latest: deque[Decision] = deque(maxlen=MAX_EXPLAINABLE_DECISIONS)
        self._unwritten: list[Decision] = []
        self._encoder = msgspec.json.Encoder()

    async def run(self) -> None:
        """Flush decisions periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write the decisions made since the last flush."""
        if not self._unwritten:
            return
        dropped = len(self._unwritten) - MAX_LINES_PER_FLUSH
        if dropped > 0:
            self.metrics.unwritten_lines.inc(dropped)
            del self._unwritten[MAX_LINES_PER_FLUSH:]
            self._unwritten.append(Decision("lines-left-out", reason=str(dropped)))
        lines = [
            bound_line(self._encoder.encode(decision)) for decision in self._unwritten
        ]
        self._unwritten = []
        for chunk in _batch_lines(lines):
            self._output.write(chunk)

    def write(self, decision: Decision) -> None:
        """Queue a decision for the log and keep it for `explain`."""
        self.metrics.count(decision.event)
        self._latest.append(decision)
        self._unwritten.append(decision)

    def info(self, event: str, **fields: object) -> None:
        """Flush the decisions, then log an event that is not a decision."""
        self.metrics.count(event)
        self.flush()
        self._logger.info(event, extra=fields)

    def error(self, event: str, error: Exception, **fields: object) -> None:
        """Log an unexpected error with the place that raised it."""
        frames = traceback.extract_tb(error.__traceback__)
        place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
        self.metrics.unexpected_errors.inc()
        self.info(event, reason=repr(error), place=place, **fields)

    def explain(self, name: str) -> list[Decision]:
        """Return the latest decisions for a request or an upstream."""
        return [
            decision
            for decision in self._latest
            if name in (decision.request, decision.upstream)
        ]


class _LineHandler(logging.Handler):
    """Write each log record as one line."""

    def __init__(self, output: LineOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        self._output.write(bound_line(self.format(record).encode()) + b"\n")


def _batch_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Join whole lines into chunks that a pipe takes at once."""
    chunk = bytearray()
    for line in lines:
        if chunk and len(chunk) + len(line) >= MAX_LINE_BYTES:
            yield bytes(chunk)
            chunk.clear()
        chunk += line
        chunk += b"\n"
    if chunk:
        yield bytes(chunk)
