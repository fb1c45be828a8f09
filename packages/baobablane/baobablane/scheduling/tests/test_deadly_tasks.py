"""Test that a task that crashes its upstreams is given up, and no other.

Such a task was started again without end, and the tasks beside it with it.
"""

from dataclasses import replace

import msgspec
import pytest

from baobablane.jobs import JobState, Task, TaskId
from baobablane.scheduling import EndReason, StartResult

from .crash_model import DOWN_SECONDS, CrashFleet
from .fleet_model import add, make_job, make_step

DEADLY_JOB = "d" * 16
OTHER_JOB = "a" * 16
DEADLY = TaskId(DEADLY_JOB, 0, 0, 0)
# Long enough for two crashes, two returns and two leases.
VERDICT_SECONDS = 20.0
# After three crashes, a task may be started twice more.
MAX_STARTS = 5


@pytest.fixture
def fleet():
    """Return four upstreams and a task that crashes them."""
    return CrashFleet(deadly=[DEADLY])


class TestVerdict:
    """Test the task that is the cause."""

    @pytest.mark.parametrize("may_run_twice", [False, True])
    def test_deadly_task_is_given_up_after_two_crashes(self, fleet, may_run_twice):
        add(fleet, make_job(make_step(may_run_twice=may_run_twice), name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) == 2

    def test_deadly_task_of_a_lasting_job_is_given_up(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True), name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    def test_deadly_gang_is_given_up(self, fleet):
        add(fleet, make_job(make_step(3, is_gang=True), name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    def test_deadly_task_is_given_up_in_a_pool_of_one_upstream(self):
        fleet = CrashFleet(1, [DEADLY])
        add(fleet, make_job(name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    def test_log_names_the_upstreams_their_incarnations_and_other_runs(self, fleet):
        add(fleet, make_job(make_step(3), name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        events = fleet.scheduler.pop_events()
        lost = [event for event in events if event.event == "run-lost"]
        assert lost[0].upstream and lost[0].incarnation
        assert len(lost[0].beside) == 3
        crashes = [event for event in events if event.event == "upstream-crashed"]
        assert [event.reason for event in crashes] == ["suspects", "trial"]
        (given_up,) = [e for e in events if e.event == "task-given-up"]
        assert all(crash.upstream in given_up.reason for crash in crashes)

    def test_progress_is_recorded_with_the_lost_runs(self, fleet):
        add(fleet, make_job(name=DEADLY_JOB))
        fleet.place()
        fleet.advance(1.0)
        task = fleet.scheduler.state.jobs[DEADLY_JOB].progress().tasks["0.0.0"]
        decoded = msgspec.json.decode(msgspec.json.encode(task), type=Task)
        assert [loss.run for loss in decoded.losses] == [
            order.run for order in fleet.crashed_starts
        ]

    def test_record_of_before_this_field_is_read(self):
        assert msgspec.json.decode(b'[1,2,0,"u0",5,"",0]', type=Task).losses == []


class TestLateCrash:
    """Test a task that crashes its upstreams some time after its start."""

    def test_task_that_crashes_its_upstream_after_a_second_is_given_up(self):
        fleet = CrashFleet()
        add(fleet, make_job(name=DEADLY_JOB))
        for _ in range(10):
            fleet.advance(1.5)
            fleet.deadly = {DEADLY}
            fleet.crash_late(1.0)
            fleet.deadly = set()
            fleet.advance(DOWN_SECONDS + 0.5)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED


class TestInnocentTasks:
    """Test tasks that ran beside the cause, or beside none."""

    def test_tasks_beside_a_deadly_one_complete(self, fleet):
        add(fleet, make_job(name=DEADLY_JOB))
        add(fleet, make_job(make_step(3), name=OTHER_JOB))
        fleet.place()
        for _ in range(20):
            fleet.advance(1.0)
            fleet.finish_all()
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert OTHER_JOB not in fleet.scheduler.state.suspects.held_until
        assert fleet.state_of(OTHER_JOB) is JobState.COMPLETED

    def test_job_with_many_deadly_tasks_takes_no_innocent_with_it(self):
        deadly = [TaskId(DEADLY_JOB, 0, 0, index) for index in range(6)]
        fleet = CrashFleet(6, deadly)
        add(fleet, make_job(make_step(6), name=DEADLY_JOB))
        add(fleet, make_job(make_step(6), name=OTHER_JOB))
        for _ in range(25):
            fleet.advance(1.0)
            fleet.finish_all()
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert fleet.state_of(OTHER_JOB) is JobState.COMPLETED

    def test_rack_that_loses_power_three_times_fails_no_task(self):
        fleet = CrashFleet(4)
        add(fleet, make_job(make_step(8), name=OTHER_JOB))
        fleet.place()
        for _ in range(3):
            for name in [n for n in fleet.upstreams if n[:2] in ("u0", "u1")]:
                fleet.crash(name)
            fleet.advance(DOWN_SECONDS + 1.0)
        fleet.advance(VERDICT_SECONDS)
        assert not fleet.state_of(OTHER_JOB).is_final()
        assert sum(len(u.running) for u in fleet.upstreams.values()) == 8

    def test_long_running_task_survives_four_bad_upstreams(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True), name=OTHER_JOB))
        for _ in range(4):
            fleet.advance(2.0)
            (name,) = [n for n, u in fleet.upstreams.items() if u.running]
            fleet.upstreams[name].percent[TaskId(OTHER_JOB, 0, 0, 0)] = 100
            fleet.crash(name)
            fleet.advance(DOWN_SECONDS + 1.0)
        fleet.advance(2.0)
        assert not fleet.state_of(OTHER_JOB).is_final()
        assert any(u.running for u in fleet.upstreams.values())

    def test_settled_run_is_not_suspected(self, fleet):
        add(fleet, make_job(name=OTHER_JOB))
        (order,) = fleet.place()
        fleet.advance(1.0)
        fleet.crash(order.upstream)
        fleet.advance(1.0)
        assert not fleet.scheduler.state.suspects.held_until

    def test_crash_at_the_same_time_as_an_idle_upstream_has_another_cause(self, fleet):
        fleet.deadly = set()
        add(fleet, make_job(name=OTHER_JOB))
        for _ in range(3):
            fleet.plan_starts()
            fleet.now += 0.01
            for name in list(fleet.upstreams)[:3]:
                fleet.crash(name)
            fleet.advance(VERDICT_SECONDS)
        assert not fleet.state_of(OTHER_JOB).is_final()

    def test_start_that_was_not_sent_is_no_loss(self, fleet):
        add(fleet, make_job(name=OTHER_JOB))
        (order,) = fleet.plan_starts()
        fleet.scheduler.start_answered(order, StartResult.NOT_SENT, fleet.now)
        assert not fleet.scheduler.state.suspects.held_until
        assert len(fleet.plan_starts()) == 1

    def test_run_not_seen_to_start_is_no_crash_under_its_task(self, fleet):
        add(fleet, make_job(make_step(2), name=OTHER_JOB))
        (order, other) = fleet.plan_starts()
        assert order.upstream == other.upstream
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        fleet.send(other)
        fleet.crash(order.upstream)
        fleet.advance(DOWN_SECONDS + 0.5)
        task = fleet.scheduler.state.jobs[OTHER_JOB].steps[(0, 0)].tasks[0]
        assert all(not loss.is_started for loss in task.losses)


class TestNoCrash:
    """Test upstreams that are gone or silent for other reasons."""

    def start_and_lose(self, fleet, job=OTHER_JOB):
        """Start a task, and lose contact to its upstream before it has settled."""
        add(fleet, make_job(name=job))
        (order,) = fleet.place()
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        return order

    def test_unreachable_upstream_is_no_crash(self, fleet):
        order = self.start_and_lose(fleet)
        model = fleet.upstreams[order.upstream]
        fleet.renew = lambda name: None
        fleet.advance(VERDICT_SECONDS)
        assert model.running
        task = fleet.scheduler.state.jobs[OTHER_JOB].steps[(0, 0)].tasks[0]
        assert not any(loss.is_crash for loss in task.losses)
        assert not fleet.scheduler.state.suspects.held_until

    def test_upstream_that_is_reachable_again_clears_its_suspects(self, fleet):
        order = self.start_and_lose(fleet)
        fleet.now += 0.5
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.renew(order.upstream)
        assert not fleet.scheduler.state.suspects.held_until

    def test_ordered_end_is_no_crash(self, fleet):
        add(fleet, make_job(name=OTHER_JOB))
        (order,) = fleet.place()
        fleet.ordered_ms[order.upstream] = round(fleet.now * 1000) + 1
        fleet.scheduler.mark_ordered(order.upstream, True)
        fleet.crash(order.upstream)
        fleet.advance(DOWN_SECONDS + 1.0)
        assert not fleet.scheduler.state.suspects.held_until

    def test_announced_end_is_no_crash(self, fleet):
        add(fleet, make_job(name=OTHER_JOB))
        (order,) = fleet.place()
        entry = replace(fleet.upstreams[order.upstream].entry, is_draining=True)
        fleet.scheduler.upstream_listed(entry, fleet.now)
        fleet.list_instances()
        fleet.crash(order.upstream)
        fleet.advance(DOWN_SECONDS + 1.0)
        assert not fleet.scheduler.state.suspects.held_until

    def test_upstream_that_never_returns_is_no_crash(self, fleet):
        order = self.start_and_lose(fleet)
        del fleet.upstreams[order.upstream]
        fleet.advance(VERDICT_SECONDS)
        task = fleet.scheduler.state.jobs[OTHER_JOB].steps[(0, 0)].tasks[0]
        assert not any(loss.is_crash for loss in task.losses)
        assert any(u.running for u in fleet.upstreams.values())


class TestOwners:
    """Test that an owner knows the crashes that its predecessors saw."""

    @pytest.mark.parametrize("after_seconds", [0.0, 0.5, DOWN_SECONDS - 0.2])
    def test_owner_is_replaced_after_each_crash(self, fleet, after_seconds):
        add(fleet, make_job(name=DEADLY_JOB))
        for _ in range(8):
            crashes = len(fleet.crashed_starts)
            for _ in range(40):
                if len(fleet.crashed_starts) > crashes:
                    break
                fleet.advance(0.25)
            fleet.advance(after_seconds)
            fleet.replace_owner()
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    def test_no_owner_sees_when_upstreams_crash(self, fleet):
        """Guards against starts without end of a task whose crashes prove nothing."""
        add(fleet, make_job(name=DEADLY_JOB))
        for _ in range(8):
            crashes = len(fleet.crashed_starts)
            for _ in range(80):
                if len(fleet.crashed_starts) > crashes:
                    break
                fleet.advance(0.25)
            fleet.now += 2.0
            fleet.replace_owner()
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert 2 < len(fleet.crashed_starts) <= MAX_STARTS

    def test_owner_is_replaced_twice_in_a_row(self, fleet):
        add(fleet, make_job(name=DEADLY_JOB))
        fleet.place()
        fleet.replace_owner()
        fleet.replace_owner()
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    def test_upstreams_that_were_down_at_the_takeover_explain_no_crash(self):
        fleet = CrashFleet(6, [DEADLY])
        add(fleet, make_job(name=DEADLY_JOB))
        for _ in range(3):
            for name in list(fleet.upstreams)[-2:]:
                fleet.crash(name)
            fleet.advance(0.25)
            fleet.replace_owner()
            fleet.advance(6.0)
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    def test_start_of_an_earlier_owner_is_not_seen_to_run(self, fleet):
        add(fleet, make_job(make_step(2), name=OTHER_JOB))
        (order, _) = fleet.plan_starts()
        fleet.replace_owner()
        fleet.crash(order.upstream)
        fleet.advance(DOWN_SECONDS + 0.5)
        tasks = fleet.scheduler.state.jobs[OTHER_JOB].steps[(0, 0)].tasks.values()
        assert not any(loss.is_started for task in tasks for loss in task.losses)

    def test_restart_under_the_same_id_is_a_crash(self, fleet):
        add(fleet, make_job(name=OTHER_JOB))
        (order,) = fleet.place()
        fleet.upstreams[order.upstream].restart()
        fleet.renew(order.upstream)
        task = fleet.scheduler.state.jobs[OTHER_JOB].steps[(0, 0)].tasks[0]
        assert [loss.is_crash for loss in task.losses] == [True]


class TestTrials:
    """Test where and when suspects start again."""

    def demand(self, fleet):
        """Return the demand on the pool of the fleet."""
        unix_ms = round(fleet.now * 1000)
        return fleet.scheduler.fleet.demand_by_pool(unix_ms)["pool"]

    def test_suspects_are_demand_for_trials_and_for_nothing_else(self):
        fleet = CrashFleet(2)
        accepted_ms = round(fleet.now * 1000)
        add(fleet, make_job(make_step(4), name=OTHER_JOB, accepted_ms=accepted_ms))
        (order, *_) = fleet.place()
        before = self.demand(fleet)
        assert (before.due_cores > 0, before.trial_cores) == (True, 0)
        fleet.crash(order.upstream)
        fleet.now += 0.3
        fleet.list_instances()
        after = self.demand(fleet)
        assert (after.due_cores, after.trial_cores) == (0, 4)

    def suspects(self, fleet, count=6):
        """Add a job, and crash the upstreams on which it has just started."""
        add(fleet, make_job(make_step(count), name=OTHER_JOB))
        names = {order.upstream for order in fleet.place()}
        for name in names:
            fleet.crash(name)
        fleet.now += 0.3
        fleet.list_instances()
        for name in list(fleet.upstreams):
            fleet.renew(name)

    def test_nothing_starts_beside_a_trial_until_it_has_settled(self):
        fleet = CrashFleet(3, cpu=8000)
        self.suspects(fleet, 4)
        add(fleet, make_job(make_step(8), name="b" * 16))
        orders = fleet.place()
        trials = {o.upstream for o in orders if o.task.job == OTHER_JOB}
        others = {o.upstream for o in orders if o.task.job != OTHER_JOB}
        assert not trials & others
        add(fleet, make_job(make_step(16), name="c" * 16))
        assert not {order.upstream for order in fleet.place()} & trials

    def test_suspects_of_many_share_a_trial_and_those_of_few_do_not(self):
        for count, most in ((8, 2), (2, 1)):
            fleet = CrashFleet(2, cpu=8000)
            self.suspects(fleet, count)
            trials = [o for o in fleet.place() if o.task.job == OTHER_JOB]
            assert len(trials) == most

    def test_full_pool_risks_one_upstream_at_a_time(self):
        fleet = CrashFleet(6)
        self.suspects(fleet, 4)
        add(fleet, make_job(make_step(40), name="b" * 16))
        fleet.now += 1.0
        fleet.advance(2.0)
        risked = [u for u in fleet.scheduler.state.upstreams.values() if u.has_trial()]
        assert len(risked) <= 1

    def test_suspect_reserves_an_upstream_of_a_busy_pool(self):
        fleet = CrashFleet(2, cpu=8000)
        self.suspects(fleet, 1)
        for number in range(30):
            add(fleet, make_job(name=f"{number:016x}"))
            fleet.place()
            fleet.now += 0.05
            if number % 5 == 0:
                for name in list(fleet.upstreams):
                    fleet.renew(name)
                fleet.finish_all()
        assert OTHER_JOB not in {
            t.job for t in fleet.scheduler.state.suspects.held_until
        }

    def test_reserved_upstream_and_trial_are_checked_soon(self):
        fleet = CrashFleet(2)
        self.suspects(fleet, 1)
        (order,) = fleet.place()
        assert fleet.scheduler.upstreams_to_check(fleet.now + 0.1) == []
        due = fleet.scheduler.upstreams_to_check(fleet.now + 0.3)
        assert due == [order.upstream]

    def test_suspect_that_ends_is_cleared(self):
        fleet = CrashFleet(2)
        self.suspects(fleet, 1)
        (order,) = fleet.place()
        fleet.finish(order.task, EndReason.DONE)
        fleet.renew(order.upstream)
        assert not fleet.scheduler.state.suspects.held_until

    def test_unstable_pool_starts_few_tasks_at_a_time_on_each_upstream(self):
        deadly = [TaskId(c * 16, 0, 0, 0) for c in "de"]
        fleet = CrashFleet(4, deadly, cpu=64_000)
        for task in deadly:
            add(fleet, make_job(name=task.job))
            fleet.advance(2.0)
        add(fleet, make_job(make_step(60), name=OTHER_JOB))
        orders = [o for o in fleet.place() if o.task.job == OTHER_JOB]
        started = [order.upstream for order in orders]
        assert 0 < max(started.count(name) for name in started) <= 4


class TestLateOrders:
    """Test starts that are carried out after their task was given up."""

    def test_late_start_of_a_given_up_task_is_stopped(self, fleet):
        add(fleet, make_job(name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        name, model = next(iter(fleet.upstreams.items()))
        model.running[DEADLY] = 9
        fleet.renew(name)
        assert [(stop.task, stop.run) for stop in fleet.send_stops()] == [(DEADLY, 9)]

    def test_occurrences_of_a_given_up_job_do_not_start(self, fleet):
        job = msgspec.structs.replace(
            make_job(name=DEADLY_JOB), first_due_ms=1, interval_ms=30_000, occurrences=9
        )
        add(fleet, job)
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        crashes = len(fleet.crashed_starts)
        fleet.advance(60.0)
        assert len(fleet.crashed_starts) == crashes
