"""Draw plans with few faults and much calm between them."""

from dataclasses import replace
from random import Random

from ._calm import is_of_upstream
from ._fault import Fault
from ._plan import (
    FIRST_FAULT_SECONDS,
    RACK_KINDS,
    SERIES_GAP_SECONDS,
    UPSTREAM_KINDS,
    Plan,
    draw_fault,
    draw_job,
)
from ._planned_job import PlannedJob

# From the last fault of a series to the first one of the next.
CALM_SECONDS = (14.0, 20.0)
# How likely one more fault follows in a series, and how likely at once.
SERIES_SHARE = 0.6
AT_ONCE_SHARE = 0.3
SERIES_SECONDS = (0.5, 8.0)
# An upstream that stays away lets the promises be judged meanwhile.
AWAY_SECONDS = (1.0, 30.0)
JOBS_PER_SECOND = 1.0
# Long-running jobs that are there from the start, and how many more may come.
FIRST_SERVING_JOBS = 3
MAX_SERVING_JOBS = 5


def make_calm_plan(seed: int, seconds: float) -> Plan:
    """Return the plan of a seed with few faults and much calm."""
    random = Random(f"{seed} {seconds} calm")
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - CALM_SECONDS[0]:
        faults.append(_draw_fault(random, at, seconds))
        if random.random() >= SERIES_SHARE:
            at += random.uniform(*CALM_SECONDS)
        elif random.random() < AT_ONCE_SHARE:
            at += random.uniform(0.0, SERIES_GAP_SECONDS)
        else:
            at += random.uniform(*SERIES_SECONDS)
    return Plan(seed, seconds, tuple(faults), tuple(_draw_jobs(random, seconds)))


def _draw_fault(random: Random, at: float, end: float) -> Fault:
    fault = draw_fault(random, at, end)
    is_away = fault.kind in (*UPSTREAM_KINDS, *RACK_KINDS) or all(
        is_of_upstream(fault.kind, target) for target in fault.targets or ("",)
    )
    if not is_away:
        return fault
    away = round(min(random.uniform(*AWAY_SECONDS), end - at), 2)
    return replace(fault, seconds=away)


def _draw_jobs(random: Random, seconds: float) -> list[PlannedJob]:
    jobs = [draw_job(random, 0.0, n, "serving") for n in range(FIRST_SERVING_JOBS)]
    at = random.expovariate(JOBS_PER_SECOND)
    while at < seconds:
        job = draw_job(random, at, len(jobs))
        # More of them would fill the pool, as they never end.
        serving = [job for job in jobs if job.kind == "serving"]
        if job.kind != "serving" or len(serving) < MAX_SERVING_JOBS:
            jobs.append(job)
        at += random.expovariate(JOBS_PER_SECOND)
    return jobs
