"""Define the dispatcher's record of a request."""

from dataclasses import dataclass, field

from ..admission import WaitingRequest
from ..config import Queue
from ..errors import ResultCode
from ..limits import Escrow

# The team of requests without a key, which only open queues accept.
OPEN_TEAM = "open"


@dataclass(slots=True)
class WorkRequest:
    """Store a request's identity, its deadline and its attempts so far."""

    id: str
    team: str
    queue: Queue
    pool: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline_at: float
    attempts: int = 0
    # Upstreams that reported a failure, and those that further attempts avoid.
    failed_upstreams: list[str] = field(default_factory=list)
    excluded_upstreams: set[str] = field(default_factory=set)
    waiting: WaitingRequest | None = None
    started_at: float | None = None
    # Expected run time, which was charged at the start and is corrected at the end.
    charged_seconds: float = 0.0
    is_long: bool = False
    upstream: str = ""
    # The result of the latest attempt that ran or may have run, None without one.
    may_have_run_code: ResultCode | None = None
    # The escrow that counts the request as running.
    escrow: Escrow | None = None
