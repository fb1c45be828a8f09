"""Describe an upstream that stopped responding, as it was at that time."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..jobs import TaskId

# A silent upstream is found to be lost up to 1.4 s late, when a renewal times out.
SIMULTANEOUS_SECONDS = 1.5
# A response may be received this long after it was sent.
RESPONSE_SECONDS = 0.5
# A pool is unstable while at least this many of its upstreams went down in this time,
# one after the other, as they started tasks.
MIN_CRASHES_OF_UNSTABLE_POOL = 2
UNSTABLE_SECONDS = 10.0
# Other trials of a pool wait at most this long for the return of an upstream.
MAX_DOWN_SECONDS = 5.0
# Maximum time for which a lost upstream is kept without news of it.
RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class LostUpstream:
    """Hold what was lost with an upstream, and which runs may have crashed it."""

    upstream: str
    incarnation: int
    # In seconds of the monotonic clock.
    lost_at: float
    # Runs that had not settled. If a suspect was on trial, only that one.
    suspects: frozenset[TaskId]
    # Names of its runs, as `job.occurrence.step.position#run`.
    runs: tuple[str, ...]
    # Work lost with the runs, at most; restored checkpoints are not taken off.
    core_seconds: float
    has_trial: bool
    pool: str = ""
    # The list of instances shows its instance as down.
    is_down: bool = False
    # It had responded to this owner, so that it is known when it was lost.
    was_seen: bool = False
    # When it last responded, so that it was lost after that.
    seen_at: float = float("-inf")
    # It is known that it crashed, as its instance runs another upstream.
    is_back: bool = False
    # It is known which task crashed it.
    is_explained: bool = False

    def end_of_run(self, started_at: float) -> float:
        """Return when a run that was lost with it ended at the earliest.

        A silent upstream is found to be lost later than that.
        """
        return min(self.lost_at, max(started_at, self.seen_at))

    def is_down_after_trial(self, now: float) -> bool:
        """Return whether it went down in a trial a short time ago."""
        return (
            self.has_trial
            and self.is_down
            and not self.is_back
            and now - self.lost_at < MAX_DOWN_SECONDS
        )


def unstable_pools(lost: Iterable[LostUpstream], now: float) -> set[str]:
    """Return the pools whose upstreams crash as they start tasks."""
    times_by_pool: dict[str, set[int]] = {}
    for upstream in lost:
        if (
            upstream.is_down
            and upstream.suspects
            and now - upstream.lost_at < UNSTABLE_SECONDS
        ):
            # Upstreams that went down together count once.
            moment = round(upstream.lost_at / SIMULTANEOUS_SECONDS)
            times_by_pool.setdefault(upstream.pool, set()).add(moment)
    return {
        pool
        for pool, times in times_by_pool.items()
        if len(times) >= MIN_CRASHES_OF_UNSTABLE_POOL
    }


def has_outside_cause(lost: LostUpstream, others: list[LostUpstream]) -> bool:
    """Return whether another upstream went down at the same time without a suspect.

    Tasks don't crash upstreams that don't start them, so both had another cause, such
    as the power of a rack.
    """
    return lost.was_seen and any(
        other is not lost
        and other.is_down
        and other.was_seen
        and not other.suspects
        and _may_be_simultaneous(lost, other)
        for other in others
    )


def is_lost_with_others(lost: LostUpstream, all_lost: Iterable[LostUpstream]) -> bool:
    """Return whether another upstream may have gone down at the same time."""
    return any(
        other is not lost and _may_be_simultaneous(lost, other) for other in all_lost
    )


def _may_be_simultaneous(one: LostUpstream, other: LostUpstream) -> bool:
    # Each was lost between its last response and its discovery.
    return (
        abs(other.lost_at - one.lost_at) <= SIMULTANEOUS_SECONDS
        and one.seen_at - RESPONSE_SECONDS <= other.lost_at
        and other.seen_at - RESPONSE_SECONDS <= one.lost_at
    )
