"""Define the orders sent to upstreams, and the results of a start order."""

from dataclasses import dataclass
from enum import Enum, auto

from ..jobs import TaskId


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Ask an upstream to start one run of a task."""

    task: TaskId
    # Number of the run, counted from 1 for each task.
    run: int
    spec: str
    checkpoint: str
    upstream: str
    incarnation: int
    # Issued by the placement advisor; empty if the queue needs no advice.
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Ask an upstream to stop a run, or to reject its start if it arrives later."""

    task: TaskId
    run: int
    upstream: str


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Ask an upstream to throttle a task to a percentage of its full pace."""

    task: TaskId
    run: int
    upstream: str
    percent: int


class StartResult(Enum):
    """Name the possible results of a start order."""

    STARTED = auto()
    # The upstream has no room for the task.
    NO_ROOM = auto()
    # The upstream has received a call from a newer owner.
    FENCED = auto()
    # The upstream has stopped or ended this run of the task, or a later one.
    OLD_RUN = auto()
    # The order arrived after its lease deadline.
    LATE = auto()
    # The upstream is overloaded or unavailable, and did not start the task.
    REFUSED = auto()
    # The upstream could not parse the order.
    MALFORMED = auto()
    # A different incarnation of the upstream responded.
    OTHER_INCARNATION = auto()
    # The order carried no valid ticket of the placement advisor.
    NO_TICKET = auto()
    # No connection could be opened, so the order was not sent.
    NOT_SENT = auto()
    # Unknown outcome: there was no response, and the run may still start.
    UNKNOWN = auto()
