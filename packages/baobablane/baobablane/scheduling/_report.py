"""Define what an upstream reports about its runs."""

from dataclasses import dataclass
from enum import Enum

from ..jobs import TaskId


class EndReason(Enum):
    """Say how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Another member of the gang ended.
    BROKEN = "broken"
    # The rest of the gang did not come.
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Hold one running task of a report."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    # Tail latency in milliseconds of a serving task, thousandths of a core of others.
    measure: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold one end of a report; numbers rise within an incarnation."""

    number: int
    task: TaskId
    run: int
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """Hold an upstream's answer to a renewal of its leases."""

    incarnation: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
