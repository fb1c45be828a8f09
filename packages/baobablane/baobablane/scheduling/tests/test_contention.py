"""Test which tasks start in a full pool, and which long-running tasks are ready."""

from baobablane.jobs import TaskId

from .fleet_model import (
    CORE,
    ModelFleet,
    add,
    make_configuration,
    make_job,
    make_queue,
    make_step,
)

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)


class TestOrder:
    """Test which job starts first when a pool is full."""

    def test_job_that_can_meet_its_objective_starts_before_a_late_one(self):
        fleet = ModelFleet(count=1, cpu=CORE)
        fleet.now = 1000.0
        fleet.renew_all()
        add(fleet, make_job(name="1" * 16, accepted_ms=900_000))
        add(fleet, make_job(name="2" * 16, accepted_ms=1_000_000))
        assert [order.task.job for order in fleet.place()] == ["2" * 16]

    def test_queue_with_higher_priority_starts_first(self):
        queues = [make_queue("q", priority=1), make_queue("urgent", priority=0)]
        fleet = ModelFleet(
            count=1, cpu=CORE, configuration=make_configuration(queues=queues)
        )
        fleet.renew_all()
        now_ms = round(fleet.now * 1000)
        add(fleet, make_job(name="1" * 16, accepted_ms=now_ms))
        add(fleet, make_job(name="2" * 16, queue="urgent", accepted_ms=now_ms))
        assert [order.task.job for order in fleet.place()] == ["2" * 16]


class TestStarvation:
    """Test that a full pool starves neither long-running nor small tasks."""

    def test_long_running_task_is_not_starved_by_small_tasks(self):
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        for number in range(4):
            add(fleet, make_job(name=f"{number + 1:016x}"))
        fleet.place()
        add(fleet, make_job(make_step(cpu=2 * CORE, is_lasting=True), name="f" * 16))
        for number in range(4):
            fleet.finish(TaskId(f"{number + 1:016x}", 0, 0, 0))
            fleet.renew_all()
            add(fleet, make_job(name=f"{number + 9:016x}"))
            fleet.place()
        assert fleet.runs_of(TaskId("f" * 16, 0, 0, 0)) == 1

    def test_long_running_task_that_fits_nowhere_blocks_no_other_task(self):
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        add(fleet, make_job(make_step(cpu=9 * CORE, is_lasting=True), name="f" * 16))
        add(fleet, make_job(name="1" * 16))
        assert [order.task.job for order in fleet.place()] == ["1" * 16]


class TestLongRunningTasks:
    """Test which long-running tasks count as ready or as missing."""

    def start_long_running_tasks(self, fleet):
        """Start a long-running task on each upstream, and report both as ready."""
        add(fleet, make_job(make_step(2, is_lasting=True, may_miss=1)))
        fleet.place()
        for model in fleet.upstreams.values():
            model.percent = dict.fromkeys(model.running, 100)
        fleet.renew_all()

    def test_tasks_at_100_percent_are_ready(self, fleet):
        self.start_long_running_tasks(fleet)
        assert fleet.scheduler.fleet.missing_by_step() == {(JOB, 0): 0}

    def test_tasks_of_an_unreachable_upstream_are_missing(self, fleet):
        self.start_long_running_tasks(fleet)
        fleet.scheduler.renewal_failed("u0", fleet.now)
        assert fleet.scheduler.fleet.missing_by_step() == {(JOB, 0): 1}

    def test_evicted_task_counts_as_missing(self, fleet):
        self.start_long_running_tasks(fleet)
        view = fleet.scheduler.fleet.upstream_view("u0")
        fleet.scheduler.fleet.evict(view.lasting_by_step[(JOB, 0)][0])
        assert fleet.scheduler.fleet.missing_by_step() == {(JOB, 0): 1}

    def test_report_of_a_removed_upstream_is_ignored(self, fleet):
        self.start_long_running_tasks(fleet)
        report = fleet.upstreams["u0"].report(0)
        fleet.scheduler.remove_upstream("u0", "upkeep")
        fleet.scheduler.report_received("u0", report, fleet.now, fleet.now)
        assert "u0" not in fleet.scheduler.state.upstreams


class TestBacklog:
    """Test the demand of a pool whose waiting jobs are all late.

    After an outage of the store, a pool gave up idle instances while 98 late jobs
    waited for it, and got them back seconds later.
    """

    def due_cores(self, age_seconds):
        """Return the cores that a job of four seconds on eight cores needs."""
        fleet = ModelFleet()
        fleet.now = 1000.0
        fleet.renew_all()
        accepted_ms = round((fleet.now - age_seconds) * 1000)
        add(fleet, make_job(make_step(64), accepted_ms=accepted_ms))
        fleet.place()
        return fleet.scheduler.fleet.demand_by_pool(round(fleet.now * 1000))[
            "pool"
        ].due_cores

    def test_late_job_counts_while_its_result_is_of_use(self):
        assert self.due_cores(2.0) > 0.0

    def test_job_that_is_in_time_counts_more(self):
        assert self.due_cores(0.0) > self.due_cores(2.0)

    def test_job_whose_result_is_useless_does_not_count(self):
        assert self.due_cores(10.0) == 0.0
