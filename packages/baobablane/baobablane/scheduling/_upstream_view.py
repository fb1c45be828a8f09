"""Describe an upstream's runs for the planning of upkeep and moves."""

from dataclasses import dataclass

from ._orders import StopOrder

# A job's id and the number of the step.
StepKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """Hold what would end if an upstream's instance were taken away now."""

    id: str
    pool: str
    is_cordoned: bool
    # Whether its latest call was answered, so that what runs there is known.
    is_reachable: bool
    short_runs: int
    # The stops of the lasting tasks at work here.
    lasting_by_step: dict[StepKey, list[StopOrder]]
    # Lasting tasks with an allowance that are about to be at work here.
    starting: int
    # How many tasks of each of these steps planned work may end at once; 0 where the
    # job says nothing of it.
    allowance_by_step: dict[StepKey, int]
