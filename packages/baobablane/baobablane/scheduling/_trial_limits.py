"""Limit on how many upstreams of a pool suspects are tried at once.

Load pattern: upstreams crash under trials, and are away for seconds or for good. Other
suspects are tried meanwhile, on as many upstreams as the pool can spare. Long-running
ones that have waited for long are tried one by one beyond that.
"""

from collections import Counter
from dataclasses import dataclass

from ._state import SchedulerState

# Maximum part of a pool's upstreams that are on trial or down after one: while other
# tasks wait for room, and otherwise. One always may be.
FULL_FRACTION = 0.25
IDLE_FRACTION = 0.9
# Maximum number of upstreams of a pool on which suspects are tried at once.
MAX_TRIALS = 24


@dataclass(slots=True)
class TrialLimits:
    """Count the upstreams of a pool that are risked in one planning round."""

    # Upstreams on which a trial goes on.
    on_trial: int
    max_on_trial: int
    # The same, and those that went down in one.
    at_risk: int
    max_at_risk: int

    def allow_another(self) -> bool:
        """Return whether one more upstream may be risked."""
        return self.on_trial < self.max_on_trial and self.at_risk < self.max_at_risk

    def count_another(self) -> None:
        """Count one more upstream that is risked."""
        self.on_trial += 1
        self.at_risk += 1


def limit_trials(
    state: SchedulerState, pool: str, is_full: bool, now: float
) -> TrialLimits:
    """Return the limits of a pool; `is_full` tells that others wait for room there."""
    upstreams = [u for u in state.upstreams.values() if u.entry.pool == pool]
    tried = {upstream.id for upstream in upstreams if upstream.has_trial()}
    at_risk = tried | state.down_after_trial(pool, now)
    usable = {u.id for u in upstreams if u.is_usable() and not state.is_evacuated(u)}
    fraction = FULL_FRACTION if is_full else IDLE_FRACTION
    return TrialLimits(
        # An unreachable upstream settles no doubt. It is a risk, but no trial.
        on_trial=sum(state.upstreams[name].is_reachable for name in tried),
        max_on_trial=max(1, wanted_trials(state).get(pool, 0)),
        at_risk=len(at_risk),
        max_at_risk=max(1, int(len(usable | at_risk) * fraction)),
    )


def wanted_trials(state: SchedulerState) -> dict[str, int]:
    """Return on how many upstreams of each pool suspects should be tried at once.

    Each unexplained crash probably has one cause, which crashes one more upstream. All
    other suspects settle immediately.
    """
    crashes = Counter(
        state.pool_of(state.jobs[tasks[0].job])
        for tasks in map(state.suspects.tasks_lost_with, state.suspects.upstreams())
        if tasks[0].job in state.jobs
    )
    return {pool: min(count, MAX_TRIALS) for pool, count in crashes.items()}
