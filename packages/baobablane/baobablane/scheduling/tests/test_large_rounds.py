"""Test rounds in which more tasks can start than one round may plan."""

import pytest

from baobablane.scheduling._planning import MAX_STARTS_PER_ROUND

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

UPSTREAMS = 75
CORES = 8
JOBS = UPSTREAMS * CORES
TASKS_PER_JOB = 3


def make_fleet(jobs=JOBS, tasks=1):
    """Return empty upstreams and waiting jobs, the most urgent ones last."""
    fleet = ModelFleet(UPSTREAMS, CORES * CORE)
    fleet.renew_all()
    now_ms = round(fleet.now * 1000)
    for number in range(jobs):
        job = make_job(
            make_step(tasks), name=f"{number:016x}", accepted_ms=now_ms - number
        )
        add(fleet, job)
    return fleet


class TestBound:
    """Test how many starts a round plans."""

    @pytest.mark.parametrize("tasks", [1, TASKS_PER_JOB])
    def test_round_plans_a_bounded_number_of_starts(self, tasks):
        """Guards against an owner that plans until its ownership is over."""
        fleet = make_fleet(tasks=tasks)
        starts = fleet.plan_starts()
        assert MAX_STARTS_PER_ROUND <= len(starts) < MAX_STARTS_PER_ROUND + tasks
        assert fleet.scheduler.state.has_more_starts

    def test_rounds_go_on_until_all_upstreams_are_full(self):
        """Guards against free room that the bound leaves empty."""
        fleet = make_fleet(jobs=2 * JOBS)
        started = len(fleet.plan_starts())
        while fleet.scheduler.state.has_more_starts:
            started += len(fleet.plan_starts())
        assert started == JOBS
        assert fleet.plan_starts() == []

    def test_most_urgent_jobs_start_first(self):
        """Guards against jobs that are left out in favour of later ones."""
        fleet = make_fleet()
        state = fleet.scheduler.state
        started = {start.task.job for start in fleet.plan_starts()}
        waiting = set(state.jobs) - started
        position = {job_id: run.position for job_id, run in state.jobs.items()}
        assert max(position[j] for j in started) < min(position[j] for j in waiting)

    def test_small_round_leaves_nothing_out(self):
        """Guards against rounds without end."""
        fleet = make_fleet(jobs=MAX_STARTS_PER_ROUND - 1)
        assert len(fleet.plan_starts()) == MAX_STARTS_PER_ROUND - 1
        assert not fleet.scheduler.state.has_more_starts
