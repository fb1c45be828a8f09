"""Define the rules that a queue sets for its jobs."""

import msgspec


class QueueRules(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold how the jobs of a queue are run, as it was when one of them was accepted.

    The fields are those of `Queue`.
    """

    priority: int
    max_attempts: int
    slack_factor: float
    target_latency_ms: int
    needs_advice: bool = False
