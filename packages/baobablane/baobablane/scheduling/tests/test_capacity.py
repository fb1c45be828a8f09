"""Test upstreams whose capacity shrinks and grows while they run.

A start must not bring an upstream over its capacity; what is being stopped counts.
"""

from dataclasses import replace

import pytest

from baobablane.deployment import NO_RESOURCES, Resources
from baobablane.scheduling import EndReason

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

OTHER = "1" * 16


@pytest.fixture
def fleet():
    """Return one upstream of four cores that runs two tasks of one core."""
    fleet = ModelFleet(1)
    fleet.renew_all()
    add(fleet, make_job(make_step(2)))
    fleet.place()
    fleet.renew_all()
    return fleet


def set_capacity(fleet, cpu, memory_mb=1_000_000):
    """Let the entry of the upstream tell another capacity."""
    model = fleet.upstreams["u0"]
    model.entry = replace(model.entry, capacity=Resources(cpu, memory_mb, 0))
    fleet.scheduler.upstream_listed(model.entry, fleet.now)


class TestCapacity:
    """Test starts after a change of the capacity."""

    @pytest.mark.parametrize("cores", [0, 1, 2])
    def test_shrunk_capacity_takes_no_start_until_runs_have_ended(self, fleet, cores):
        set_capacity(fleet, cores * CORE)
        add(fleet, make_job(name=OTHER))
        assert fleet.plan_starts() == []

    def test_ended_runs_free_the_room_that_is_left(self, fleet):
        set_capacity(fleet, 2 * CORE)
        add(fleet, make_job(make_step(3), name=OTHER))
        (task, *_) = fleet.upstreams["u0"].running
        fleet.finish(task, EndReason.DONE)
        fleet.renew_all()
        assert len(fleet.plan_starts()) == 1

    def test_run_that_is_being_stopped_still_counts(self, fleet):
        set_capacity(fleet, 2 * CORE)
        fleet.scheduler.cancel_job("0" * 16)
        fleet.scheduler.plan_stops(fleet.now)
        add(fleet, make_job(name=OTHER))
        assert fleet.plan_starts() == []

    def test_shrunk_memory_takes_no_start(self, fleet):
        set_capacity(fleet, 4 * CORE, memory_mb=200)
        add(fleet, make_job(name=OTHER))
        assert fleet.plan_starts() == []

    def test_filler_does_not_start_on_a_shrunk_upstream(self, fleet):
        set_capacity(fleet, CORE)
        add(fleet, make_job(make_step(is_filler=True, is_lasting=True), name=OTHER))
        assert fleet.plan_starts() == []

    def test_grown_capacity_is_used(self, fleet):
        set_capacity(fleet, 16 * CORE)
        add(fleet, make_job(make_step(20), name=OTHER))
        assert len(fleet.plan_starts()) == 14

    def test_start_planned_before_it_shrank_is_over_capacity(self, fleet):
        add(fleet, make_job(make_step(2), name=OTHER))
        assert len(fleet.plan_starts()) == 2
        upstream = fleet.scheduler.state.upstreams["u0"]
        assert not upstream.is_over_capacity()
        set_capacity(fleet, 3 * CORE)
        assert upstream.is_over_capacity()

    def test_new_owner_counts_running_tasks_against_the_present_capacity(self, fleet):
        set_capacity(fleet, 2 * CORE)
        job_run = fleet.scheduler.state.jobs["0" * 16]
        fleet.epoch += 1
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job_run.job, job_run.progress(), fleet.now)
        fleet.renew_all()
        add(fleet, make_job(name=OTHER))
        assert fleet.plan_starts() == []

    def test_new_incarnation_has_no_room_before_its_entry(self, fleet):
        model = fleet.upstreams["u0"]
        model.restart()
        fleet.renew_all()
        upstream = fleet.scheduler.state.upstreams["u0"]
        assert upstream.entry.capacity == NO_RESOURCES
        add(fleet, make_job(name=OTHER))
        assert fleet.plan_starts() == []
        set_capacity(fleet, CORE)
        assert len(fleet.plan_starts()) == 1

    def test_entry_without_incarnation_changes_the_capacity(self, fleet):
        entry = replace(
            fleet.upstreams["u0"].entry,
            incarnation=0,
            capacity=Resources(CORE, 1_000_000, 0),
        )
        fleet.scheduler.upstream_listed(entry, fleet.now)
        add(fleet, make_job(name=OTHER))
        assert fleet.plan_starts() == []
