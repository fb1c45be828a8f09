"""Describe a request that the dispatcher has accepted."""

from dataclasses import dataclass, field

from ..admission import Waiting
from ..config import Queue
from ..errors import ResultCode
from ..limits import Escrow

# Work without a key, on queues open to all.
OPEN_TEAM = "open"


@dataclass(slots=True)
class WorkRequest:
    """Hold a request's identity, its deadline and the attempts made for it."""

    id: str
    team: str
    queue: Queue
    pool: str
    # Monotonic times in seconds.
    arrived_at: float
    deadline_at: float
    attempts: int = 0
    # Upstreams that failed the request, and those not worth asking again.
    failed_upstreams: list[str] = field(default_factory=list)
    excluded_upstreams: set[str] = field(default_factory=set)
    waiting: Waiting | None = None
    started_at: float | None = None
    charged_seconds: float = 0.0
    is_long: bool = False
    upstream: str = ""
    # The result of the latest attempt that ran or may have run.
    may_have_run_code: ResultCode | None = None
    # The escrow that counts it as running.
    escrow: Escrow | None = None
