"""Define the reports that upstreams send about their runs."""

from dataclasses import dataclass
from enum import Enum

from ..jobs import TaskId


class EndReason(Enum):
    """Name the ways in which a run ends."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # Its lease expired.
    LAPSED = "lapsed"
    # Another task of the gang ended.
    BROKEN = "broken"
    # The other tasks of the gang did not arrive.
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Describe one running task of a report."""

    task: TaskId
    run: int
    checkpoint: str
    # Progress of the run; 100 once a long-running task is ready.
    percent: int
    # Tail latency in ms of a serving task; thousandths of a core for other tasks.
    tail_ms_or_cpu_millis: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Describe how one run ended; end numbers increase within an incarnation."""

    end_number: int
    task: TaskId
    run: int
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """Describe an upstream's response to a renewal of its leases."""

    incarnation: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    # Rows that could not be decoded, each with the error.
    malformed_rows: tuple[str, ...] = ()
    # Tasks of the malformed rows in `running`, as far as these can be told.
    unreadable_tasks: frozenset[TaskId] = frozenset()
    # Whether every unacknowledged end is in the list, which the upstream may have cut
    # off. Only then a run in neither list has ended without an end to come.
    has_all_ends: bool = True
