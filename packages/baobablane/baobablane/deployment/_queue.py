"""Define a queue."""

from dataclasses import dataclass

from ._queue_rules import QueueRules


@dataclass(frozen=True, slots=True)
class Queue:
    """Describe the address of a queue and the way in which its jobs are run."""

    name: str
    host: str
    path_prefix: str
    pool: str
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    # The target duration of a job is this factor times the length of its critical path,
    # plus `target_latency_ms`.
    slack_factor: float
    target_latency_ms: int
    # A public queue accepts requests without a key.
    is_public: bool
    # Whether steps may run only on upstreams that the placement advisor returns.
    needs_advice: bool = False

    def rules(self) -> QueueRules:
        """Return what a job that is accepted now takes with it."""
        return QueueRules(
            self.priority,
            self.max_attempts,
            self.slack_factor,
            self.target_latency_ms,
            self.needs_advice,
        )
