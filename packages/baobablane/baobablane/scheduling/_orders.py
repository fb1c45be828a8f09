"""Define the orders to upstreams, and what became of a start."""

from dataclasses import dataclass
from enum import Enum, auto

from ..jobs import TaskId


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Ask an upstream to start one run of a task."""

    task: TaskId
    run: int
    spec: str
    checkpoint: str
    upstream: str
    incarnation: int
    # Of the placement advisor; empty where the queue has none.
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Ask an upstream to stop a run, or to refuse it should it still arrive."""

    task: TaskId
    run: int
    upstream: str


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Ask an upstream to let a task work at a part of its pace."""

    task: TaskId
    run: int
    upstream: str
    percent: int


class StartResult(Enum):
    """Say what became of a start."""

    STARTED = auto()
    # The upstream has no room for it.
    NO_ROOM = auto()
    # A newer owner has called the upstream.
    FENCED = auto()
    # The run is not newer than one that was stopped or ended there.
    OLD_RUN = auto()
    # The order's lease had passed when it arrived.
    LATE = auto()
    # The upstream is unhealthy and did nothing.
    REFUSED = auto()
    # The upstream can't read the order.
    MALFORMED = auto()
    # Another incarnation answered.
    OTHER_INCARNATION = auto()
    # No valid ticket of the placement advisor.
    NO_TICKET = auto()
    # There was no answer; the run may start later.
    UNKNOWN = auto()
