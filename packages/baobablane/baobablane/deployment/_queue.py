"""Describe a queue."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """Hold where a queue is found and how its jobs are run."""

    name: str
    host: str
    path_prefix: str
    pool: str
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    # A job's objective: this factor times its chain of work, and the target on top.
    slack_factor: float
    target_latency_ms: int
    # A public queue is open to callers without a key.
    is_public: bool
    # Whether only upstreams that the placement advisor names may run its steps.
    needs_advice: bool = False
