"""Test the placement of tasks, and how their runs end."""

from msgspec.structs import replace

from baobablane.deployment import Resources
from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason

from .fleet_model import (
    CORE,
    ModelFleet,
    add,
    make_configuration,
    make_job,
    make_step,
)

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)


class TestSteps:
    """Test the order of steps and the completion of a job."""

    def test_later_step_waits_for_all_tasks_of_the_earlier(self, fleet):
        add(fleet, make_job(make_step(2), make_step(1, after=(0,))))
        assert {order.task.step for order in fleet.place()} == {0}
        fleet.finish(FIRST)
        fleet.renew_all()
        assert fleet.place() == []
        fleet.finish(TaskId(JOB, 0, 0, 1))
        fleet.renew_all()
        assert [order.task.step for order in fleet.place()] == [1]

    def test_job_is_complete_after_its_last_task(self, fleet):
        add(fleet, make_job())
        fleet.place()
        fleet.finish(FIRST)
        fleet.renew_all()
        assert fleet.record()[JOB].state is JobState.COMPLETED

    def test_start_is_recorded_before_it_is_sent(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.scheduler.plan_starts(fleet.now, 0)
        recorded = fleet.scheduler.pop_dirty_progress()[JOB]
        assert recorded.tasks["0.0.0"].run == order.run == 1
        # Nothing shows yet that the upstream begins it.
        assert recorded.state is JobState.PENDING
        fleet.send(order)
        assert fleet.scheduler.pop_dirty_progress()[JOB].state is JobState.RUNNING

    def test_occurrences_start_when_they_are_due(self, fleet):
        job = make_job()
        due_ms = round(fleet.now * 1000) + 1000
        add(fleet, replace(job, occurrences=2, first_due_ms=due_ms, interval_ms=500))
        assert fleet.place() == []
        fleet.now += 1.0
        assert [order.task.occurrence for order in fleet.place()] == [0]
        fleet.now += 0.6
        assert [order.task.occurrence for order in fleet.place()] == [1]


class TestRoom:
    """Test that placement respects capacities, labels and caps."""

    def test_no_upstream_is_filled_over_its_capacity(self, fleet):
        add(fleet, make_job(make_step(20)))
        assert len(fleet.place()) == 8

    def test_short_tasks_are_packed(self, fleet):
        add(fleet, make_job(make_step(4)))
        assert len({order.upstream for order in fleet.place()}) == 1

    def test_long_running_tasks_are_spread(self, fleet):
        add(fleet, make_job(make_step(4, is_lasting=True)))
        assert len({order.upstream for order in fleet.place()}) == 2

    def test_most_per_upstream_is_respected(self, fleet):
        add(fleet, make_job(make_step(8, most_per_upstream=1)))
        assert len(fleet.place()) == 2

    def test_task_starts_only_where_its_required_label_is_present(self, fleet):
        add(fleet, make_job(make_step(2, required_label="r1")))
        assert {order.upstream for order in fleet.place()} == {"u1"}

    def test_stopped_run_counts_against_the_cap_until_its_end_is_reported(self):
        fleet = ModelFleet(configuration=make_configuration(cap=Resources(2 * CORE)))
        fleet.renew_all()
        add(fleet, make_job(make_step(4)))
        assert len(fleet.place()) == 2
        fleet.scheduler.cancel_job(JOB)
        other = make_job(name="1" * 16)
        add(fleet, other)
        assert fleet.place() == []
        fleet.send_stops()
        assert fleet.place() == []
        fleet.renew_all()
        assert len(fleet.place()) == 1

    def test_gang_starts_whole_or_not_at_all(self, fleet):
        add(fleet, make_job(make_step(9, is_gang=True)))
        assert fleet.place() == []
        add(fleet, make_job(make_step(8, is_gang=True), name="1" * 16))
        orders = fleet.place()
        assert len(orders) == 8
        assert {order.run for order in orders} == {1}


class TestFailures:
    """Test failed and stalled runs, ejection and failed jobs."""

    def test_failed_task_runs_again_elsewhere(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        fleet.finish(FIRST, EndReason.FAILED)
        fleet.renew_all()
        (again,) = fleet.place()
        assert again.run == 2
        assert again.upstream != order.upstream

    def test_job_fails_after_the_last_attempt(self, fleet):
        add(fleet, make_job())
        for _ in range(2):
            fleet.place()
            fleet.finish(FIRST, EndReason.FAILED)
            fleet.renew_all()
        assert fleet.record()[JOB].state is JobState.FAILED
        assert fleet.place() == []

    def test_stopped_run_does_not_count_as_a_failure(self, fleet):
        add(fleet, make_job())
        for _ in range(5):
            fleet.place()
            fleet.finish(FIRST, EndReason.STOPPED)
            fleet.renew_all()
        assert fleet.record()[JOB].state is JobState.RUNNING

    def test_stalled_run_is_stopped_and_runs_elsewhere(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        for _ in range(3):
            fleet.now += 1.0
            fleet.renew_all()
        assert [stop.task for stop in fleet.send_stops()] == [FIRST]
        fleet.renew_all()
        (again,) = fleet.place()
        assert again.upstream != order.upstream

    def test_ready_long_running_task_completes_the_probe_of_an_upstream(self):
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        add(fleet, make_job(make_step(is_lasting=True)))
        for _ in range(3):
            fleet.place()
            fleet.finish(FIRST, EndReason.FAILED)
            fleet.renew_all()
        fleet.now += 61.0
        fleet.renew_all()
        fleet.place()
        fleet.upstreams["u0"].percent[FIRST] = 100
        fleet.renew_all()
        add(fleet, make_job(name="1" * 16))
        assert len(fleet.place()) == 1

    def test_long_running_task_starts_even_if_all_upstreams_are_ejected(self, fleet):
        for upstream in ("u0", "u1"):
            for _ in range(20):
                fleet.scheduler.state.ejections.record_failure(
                    upstream, ["x"] * 9, fleet.now
                )
        add(fleet, make_job(make_step(is_lasting=True)))
        assert len(fleet.place()) == 1

    def test_task_that_stalls_on_every_upstream_is_no_longer_stopped(self, fleet):
        add(fleet, make_job())
        for _ in range(4):
            fleet.place()
            for _ in range(3):
                fleet.now += 1.0
                fleet.renew_all()
            fleet.send_stops()
            fleet.renew_all()
        assert fleet.scheduler.state.jobs[JOB].steps[(0, 0)].tasks[0].run == 3

    def test_long_running_task_starts_again_however_often_it_fails(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True)))
        for _ in range(5):
            assert len(fleet.place()) == 1
            fleet.finish(FIRST, EndReason.FAILED)
            fleet.renew_all()
            fleet.now += 61.0


class TestCancelling:
    """Test cancelled jobs."""

    def test_runs_of_a_cancelled_job_are_stopped_and_nothing_starts(self, fleet):
        add(fleet, make_job(make_step(10)))
        fleet.place()
        fleet.scheduler.cancel_job(JOB)
        assert len(fleet.send_stops()) == 8
        fleet.renew_all()
        assert fleet.place() == []
        assert fleet.scheduler.state.jobs[JOB].state is JobState.CANCELLED

    def test_ended_job_is_removed_once_it_has_no_runs(self, fleet):
        add(fleet, make_job())
        fleet.place()
        fleet.scheduler.cancel_job(JOB)
        fleet.record()
        assert fleet.scheduler.remove_ended_jobs() == []
        fleet.send_stops()
        fleet.renew_all()
        fleet.record()
        assert fleet.scheduler.remove_ended_jobs() == [JOB]
        assert fleet.scheduler.remove_ended_jobs() == []
