"""Describe an upstream's runs for the planning of maintenance and moves."""

from dataclasses import dataclass

from ._orders import StopOrder

# A job's id and the number of the step.
StepKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """Describe the runs that would end if an upstream's instance were removed now."""

    id: str
    pool: str
    is_cordoned: bool
    # Whether it responded to the latest call, so that its runs are known.
    is_reachable: bool
    short_runs: int
    # The orders that would stop the long-running tasks that are ready here.
    lasting_by_step: dict[StepKey, list[StopOrder]]
    # Number of long-running tasks with an allowance that are starting here.
    starting: int
    # How many tasks of each step planned maintenance may make unavailable at the same
    # time; 0 if the job sets no limit.
    allowance_by_step: dict[StepKey, int]
