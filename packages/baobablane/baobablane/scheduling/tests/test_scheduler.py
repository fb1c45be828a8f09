"""Test the placement of tasks and what becomes of their runs."""

import pytest
from msgspec.structs import replace

from baobablane.deployment import Resources
from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason, StartResult

from .fleet_model import (
    CORE,
    ModelFleet,
    make_configuration,
    make_job,
    make_queue,
    make_step,
)

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)


@pytest.fixture
def fleet():
    """Return two upstreams of four cores that have been heard."""
    fleet = ModelFleet()
    fleet.hear_all()
    return fleet


def add(fleet, job):
    """Add a job that is new."""
    fleet.scheduler.add_job(job, None, fleet.now)


class TestSteps:
    """Test the order of steps and the end of a job."""

    def test_later_step_waits_for_all_tasks_of_the_earlier(self, fleet):
        add(fleet, make_job(make_step(2), make_step(1, after=(0,))))
        assert {order.task.step for order in fleet.place()} == {0}
        fleet.finish(FIRST)
        fleet.hear_all()
        assert fleet.place() == []
        fleet.finish(TaskId(JOB, 0, 0, 1))
        fleet.hear_all()
        assert [order.task.step for order in fleet.place()] == [1]

    def test_job_is_complete_after_its_last_task(self, fleet):
        add(fleet, make_job())
        fleet.place()
        fleet.finish(FIRST)
        fleet.hear_all()
        assert fleet.record()[JOB].state is JobState.COMPLETED

    def test_start_is_recorded_before_it_is_sent(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.scheduler.plan(fleet.now, 0)
        recorded = fleet.scheduler.take_dirty()[JOB]
        assert recorded.tasks["0.0.0"].run == order.run == 1
        assert recorded.state is JobState.RUNNING

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
    """Test what fits on upstreams and under caps."""

    def test_no_upstream_is_filled_over_its_capacity(self, fleet):
        add(fleet, make_job(make_step(20)))
        assert len(fleet.place()) == 8

    def test_short_tasks_are_packed(self, fleet):
        add(fleet, make_job(make_step(4)))
        assert len({order.upstream for order in fleet.place()}) == 1

    def test_lasting_tasks_are_spread(self, fleet):
        add(fleet, make_job(make_step(4, is_lasting=True)))
        assert len({order.upstream for order in fleet.place()}) == 2

    def test_most_per_upstream_holds(self, fleet):
        add(fleet, make_job(make_step(8, most_per_upstream=1)))
        assert len(fleet.place()) == 2

    def test_label_is_required(self, fleet):
        add(fleet, make_job(make_step(2, required_label="r1")))
        assert {order.upstream for order in fleet.place()} == {"u1"}

    def test_cap_holds_until_the_end_of_a_stopped_run_is_listed(self):
        fleet = ModelFleet(configuration=make_configuration(cap=Resources(2 * CORE)))
        fleet.hear_all()
        add(fleet, make_job(make_step(4)))
        assert len(fleet.place()) == 2
        fleet.scheduler.cancel_job(JOB)
        other = make_job(name="1" * 16)
        add(fleet, other)
        assert fleet.place() == []
        fleet.send_stops()
        assert fleet.place() == []
        fleet.hear_all()
        assert len(fleet.place()) == 1

    def test_gang_starts_whole_or_not_at_all(self, fleet):
        add(fleet, make_job(make_step(9, is_gang=True)))
        assert fleet.place() == []
        add(fleet, make_job(make_step(8, is_gang=True), name="1" * 16))
        orders = fleet.place()
        assert len(orders) == 8
        assert {order.run for order in orders} == {1}


class TestFailures:
    """Test failed runs, blame and hopeless jobs."""

    def test_failed_task_runs_again_elsewhere(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        fleet.finish(FIRST, EndReason.FAILED)
        fleet.hear_all()
        (again,) = fleet.place()
        assert again.run == 2
        assert again.upstream != order.upstream

    def test_job_fails_after_the_last_attempt(self, fleet):
        add(fleet, make_job())
        for _ in range(2):
            fleet.place()
            fleet.finish(FIRST, EndReason.FAILED)
            fleet.hear_all()
        assert fleet.record()[JOB].state is JobState.FAILED
        assert fleet.place() == []

    def test_stopped_run_is_no_failure(self, fleet):
        add(fleet, make_job())
        for _ in range(5):
            fleet.place()
            fleet.finish(FIRST, EndReason.STOPPED)
            fleet.hear_all()
        assert fleet.record()[JOB].state is JobState.RUNNING

    def test_run_that_stands_still_is_stopped_and_runs_elsewhere(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        for _ in range(3):
            fleet.now += 1.0
            fleet.hear_all()
        assert [stop.task for stop in fleet.send_stops()] == [FIRST]
        fleet.hear_all()
        (again,) = fleet.place()
        assert again.upstream != order.upstream

    def test_lasting_task_at_work_ends_the_probe_of_an_upstream(self):
        fleet = ModelFleet(count=1)
        fleet.hear_all()
        add(fleet, make_job(make_step(is_lasting=True)))
        for _ in range(3):
            fleet.place()
            fleet.finish(FIRST, EndReason.FAILED)
            fleet.hear_all()
        fleet.now += 61.0
        fleet.hear_all()
        fleet.place()
        fleet.upstreams["u0"].percent[FIRST] = 100
        fleet.hear_all()
        add(fleet, make_job(name="1" * 16))
        assert len(fleet.place()) == 1

    def test_lasting_task_starts_even_where_all_are_ejected(self, fleet):
        for upstream in ("u0", "u1"):
            for _ in range(20):
                fleet.scheduler.state.ejections.failed(upstream, ["x"] * 9, fleet.now)
        add(fleet, make_job(make_step(is_lasting=True)))
        assert len(fleet.place()) == 1

    def test_task_that_stands_still_everywhere_is_left_alone(self, fleet):
        add(fleet, make_job())
        for _ in range(4):
            fleet.place()
            for _ in range(3):
                fleet.now += 1.0
                fleet.hear_all()
            fleet.send_stops()
            fleet.hear_all()
        assert fleet.scheduler.state.jobs[JOB].steps[(0, 0)].tasks[0].run == 3

    def test_lasting_task_starts_again_however_often_it_fails(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True)))
        for _ in range(5):
            assert len(fleet.place()) == 1
            fleet.finish(FIRST, EndReason.FAILED)
            fleet.hear_all()
            fleet.now += 61.0


class TestCancelling:
    """Test cancelled jobs."""

    def test_runs_are_stopped_and_nothing_starts(self, fleet):
        add(fleet, make_job(make_step(10)))
        fleet.place()
        fleet.scheduler.cancel_job(JOB)
        assert len(fleet.send_stops()) == 8
        fleet.hear_all()
        assert fleet.place() == []
        assert fleet.scheduler.state.jobs[JOB].state is JobState.CANCELLED

    def test_ended_job_is_forgotten_once_it_runs_nothing(self, fleet):
        add(fleet, make_job())
        fleet.place()
        fleet.scheduler.cancel_job(JOB)
        fleet.record()
        assert fleet.scheduler.retire() == []
        fleet.send_stops()
        fleet.hear_all()
        fleet.record()
        assert fleet.scheduler.retire() == [JOB]


class TestSilence:
    """Test upstreams that do not answer."""

    def test_task_runs_again_once_the_last_lease_is_over(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        fleet.now += 4.0
        fleet.hear("u1" if order.upstream == "u0" else "u0")
        fleet.scheduler.unheard(order.upstream, fleet.now)
        assert fleet.plan() == []
        fleet.now += 1.2
        fleet.scheduler.unheard(order.upstream, fleet.now)
        (again,) = fleet.plan()
        assert again.upstream != order.upstream

    def test_other_incarnation_has_lost_its_runs(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        fleet.upstreams[order.upstream].restart()
        fleet.hear_all()
        assert [again.run for again in fleet.place()] == [2]

    def test_unanswered_start_is_stopped_at_the_next_incarnation_first(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.plan()
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        fleet.upstreams[order.upstream].restart()
        fleet.hear_all()
        assert fleet.plan() == []
        assert [stop.run for stop in fleet.send_stops()] == [1]
        late = fleet.upstreams[order.upstream].start(order, 1, fleet.now + 4, fleet.now)
        assert late is StartResult.OLD_RUN
        fleet.hear_all()
        assert [again.run for again in fleet.plan()] == [2]

    def test_unanswered_start_that_took_effect_goes_on(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.plan()
        fleet.upstreams[order.upstream].start(order, 1, fleet.now + 4, fleet.now)
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        fleet.hear_all()
        assert fleet.send_stops() == []
        assert fleet.plan() == []

    def test_upstream_with_an_overdue_start_gets_no_more(self, fleet):
        add(fleet, make_job())
        fleet.plan()
        fleet.now += 0.3
        add(fleet, make_job(name="1" * 16))
        (second,) = fleet.plan()
        assert second.task.job == "1" * 16
        holders = {
            run.task.job: upstream.id
            for upstream in fleet.scheduler.state.upstreams.values()
            for run in upstream.runs.values()
        }
        assert len(set(holders.values())) == 2


class TestTakeOver:
    """Test an owner that begins from what is recorded."""

    def take_over(self, fleet, recorded, job):
        """Replace the owner."""
        fleet.token += 1
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job, recorded, fleet.now)

    def test_running_task_goes_on(self, fleet):
        job = make_job()
        add(fleet, job)
        fleet.scheduler.plan(fleet.now, 0)
        recorded = fleet.scheduler.take_dirty()[JOB]
        fleet.upstreams["u0"].running[FIRST] = 1
        self.take_over(fleet, recorded, job)
        fleet.hear_all()
        assert fleet.place() == []
        assert fleet.runs_of(FIRST) == 1

    def test_start_that_never_came_is_repeated(self, fleet):
        job = make_job()
        add(fleet, job)
        fleet.scheduler.plan(fleet.now, 0)
        recorded = fleet.scheduler.take_dirty()[JOB]
        self.take_over(fleet, recorded, job)
        assert fleet.place() == []
        fleet.hear_all()
        assert [order.run for order in fleet.place()] == [2]

    def test_unlisted_upstream_may_still_run_a_task(self, fleet):
        job = make_job()
        add(fleet, job)
        (order,) = fleet.scheduler.plan(fleet.now, 0)
        recorded = fleet.scheduler.take_dirty()[JOB]
        del fleet.upstreams[order.upstream]
        self.take_over(fleet, recorded, job)
        fleet.hear_all()
        fleet.scheduler.expire_unlisted(fleet.now)
        assert fleet.place() == []
        fleet.now += 7.0
        fleet.scheduler.expire_unlisted(fleet.now)
        fleet.hear_all()
        assert len(fleet.place()) == 1

    def test_cancelled_job_that_still_runs_is_stopped(self, fleet):
        job = make_job()
        add(fleet, job)
        fleet.place()
        fleet.scheduler = fleet.make_scheduler()
        fleet.hear_all()
        assert [stop.task for stop in fleet.send_stops()] == [FIRST]


class TestOrder:
    """Test who starts first when a pool is full."""

    def test_job_that_can_still_be_in_time_goes_before_a_late_one(self):
        fleet = ModelFleet(count=1, cpu=CORE)
        fleet.now = 1000.0
        fleet.hear_all()
        add(fleet, make_job(name="1" * 16, accepted_ms=900_000))
        add(fleet, make_job(name="2" * 16, accepted_ms=1_000_000))
        assert [order.task.job for order in fleet.place()] == ["2" * 16]

    def test_urgent_queue_goes_first(self):
        queues = [make_queue("q", priority=1), make_queue("urgent", priority=0)]
        fleet = ModelFleet(
            count=1, cpu=CORE, configuration=make_configuration(queues=queues)
        )
        fleet.hear_all()
        now_ms = round(fleet.now * 1000)
        add(fleet, make_job(name="1" * 16, accepted_ms=now_ms))
        add(fleet, make_job(name="2" * 16, queue="urgent", accepted_ms=now_ms))
        assert [order.task.job for order in fleet.place()] == ["2" * 16]


class TestStarvation:
    """Test a full pool in which small tasks keep coming."""

    def test_lasting_task_starts_though_small_tasks_would_fill_each_gap(self):
        fleet = ModelFleet(count=1)
        fleet.hear_all()
        for number in range(4):
            add(fleet, make_job(name=f"{number + 1:016x}"))
        fleet.place()
        add(fleet, make_job(make_step(cpu=2 * CORE, is_lasting=True), name="f" * 16))
        for number in range(4):
            fleet.finish(TaskId(f"{number + 1:016x}", 0, 0, 0))
            fleet.hear_all()
            add(fleet, make_job(name=f"{number + 9:016x}"))
            fleet.place()
        assert fleet.runs_of(TaskId("f" * 16, 0, 0, 0)) == 1

    def test_lasting_task_that_fits_nowhere_holds_up_nothing(self):
        fleet = ModelFleet(count=1)
        fleet.hear_all()
        add(fleet, make_job(make_step(cpu=9 * CORE, is_lasting=True), name="f" * 16))
        add(fleet, make_job(name="1" * 16))
        assert [order.task.job for order in fleet.place()] == ["1" * 16]


class TestLastingTasks:
    """Test which lasting tasks count as at work."""

    def make_at_work(self, fleet):
        """Start two lasting tasks, one on each upstream, and let them work."""
        add(fleet, make_job(make_step(2, is_lasting=True, may_miss=1)))
        fleet.place()
        for model in fleet.upstreams.values():
            model.percent = dict.fromkeys(model.running, 100)
        fleet.hear_all()

    def test_tasks_at_full_percent_are_at_work(self, fleet):
        self.make_at_work(fleet)
        assert fleet.scheduler.fleet.missing_by_step() == {(JOB, 0): 0}

    def test_tasks_of_a_silent_upstream_are_missing(self, fleet):
        self.make_at_work(fleet)
        fleet.scheduler.unheard("u0", fleet.now)
        assert fleet.scheduler.fleet.missing_by_step() == {(JOB, 0): 1}

    def test_evicted_task_is_missing_until_it_works_elsewhere(self, fleet):
        self.make_at_work(fleet)
        view = fleet.scheduler.fleet.upstream_view("u0")
        fleet.scheduler.fleet.evict(view.lasting_by_step[(JOB, 0)][0])
        assert fleet.scheduler.fleet.missing_by_step() == {(JOB, 0): 1}

    def test_report_of_an_upstream_that_was_taken_away_changes_nothing(self, fleet):
        self.make_at_work(fleet)
        report = fleet.upstreams["u0"].report(0)
        fleet.scheduler.upstream_ended("u0", "upkeep")
        fleet.scheduler.heard("u0", report, fleet.now, fleet.now)
        assert "u0" not in fleet.scheduler.state.upstreams
