"""Replay bursts of one pool in which no account floods, with and without shares."""

from collections import Counter
from dataclasses import dataclass, replace

from msgspec import structs

from baobablane.scheduling import SchedulingPolicy
from baobablane.scheduling._urgency import USELESS_MULTIPLE

from .replay_model import Arrivals, Replay

# Jobs a second in this pool on average. The burst needs 1.2 times its 896 cores.
MEANS = {f"a{n}": 0.11 for n in range(17)} | {f"l{n}": 0.45 for n in range(3)}
# One of four pools has its burst at a time, so that the usual rate of an account in all
# pools is four times its mean in this one.
USUAL = {name: 4 * mean for name, mean in MEANS.items()}
UPSTREAMS = 14
BURST = ((4.0, 12.0, 5.0),)
# Added to the burst, twice the usual rate of some accounts.
DOUBLED = ((5.0, 11.0, 4.0),)


@dataclass(frozen=True)
class BurstArrivals(Arrivals):
    """Generate jobs of one to three steps."""

    def jobs(self, start):
        """Return the jobs in the order of acceptance."""
        return [_with_steps(job) for job in super().jobs(start)]


def _with_steps(job):
    first, count = job.steps[0], 1 + int(job.id, 16) % 3
    steps = [structs.replace(first, after=(n - 1,) if n else ()) for n in range(count)]
    return structs.replace(job, steps=tuple(steps))


BUSY_DAY = BurstArrivals(
    MEANS, DOUBLED, frozenset({"a0", "a1", "l0"}), BURST, seconds=14.0
)


def fractions_by_outcome(seed, divides_by_account):
    """Return the fractions of the jobs in time, late but of use, and useless."""
    model = Replay(replace(BUSY_DAY, seed=seed), USUAL, upstreams=UPSTREAMS)
    policy = SchedulingPolicy(divides_by_account=divides_by_account)
    model.scheduler.state.policy = policy
    outcome = model.run(extra_seconds=15.0)
    counts = Counter(_outcome_of(outcome, job) for job in outcome.jobs_by_id.values())
    return {name: number / counts.total() for name, number in counts.items()}


def _outcome_of(outcome, job):
    seconds = outcome.end_by_job.get(job.id, float("inf")) - job.accepted_ms / 1000
    path_seconds = sum(step.estimated_ms for step in job.steps) / 1000
    objective = 1.6 * path_seconds + 0.6
    if seconds <= objective:
        return "in time"
    return "of use" if seconds <= USELESS_MULTIPLE * objective else "useless"
