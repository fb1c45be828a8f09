"""Test that a task is given up that crashes its upstreams after it has settled.

Such a task was started again without end. Everything else that runs on an upstream is
lost with it as well, at any age, and must not be given up for that.
"""

from dataclasses import replace

import pytest

from baobablane.jobs import JobState, RunLoss, TaskId
from baobablane.scheduling import EndReason
from baobablane.scheduling._waits import HELD

from .crash_model import DOWN_SECONDS, LIST_INTERVAL_SECONDS, CrashFleet
from .fleet_model import CORE, add, make_job, make_step

DEADLY_JOB = "d" * 16
DEADLY = TaskId(DEADLY_JOB, 0, 0, 0)
JOB = "a" * 16
TASK = TaskId(JOB, 0, 0, 0)
# From its start to the crash of its upstream.
CRASH_SECONDS = 1.0
VERDICT_SECONDS = 40.0
# After three crashes, a task may be started twice more.
MAX_STARTS = 5
# A run that outlives this long is no cause.
OUTLIVED_SECONDS = 15.0


class LateFleet(CrashFleet):
    """Simulate a fleet in which some tasks crash their upstreams after a second."""

    def __init__(self, count=6, late=(), **options):
        """Create the fleet; `late` holds the tasks that crash upstreams."""
        self.late = set(late)
        self.late_crashes = []
        super().__init__(count, **options)

    def advance(self, seconds):
        """Run the owner and the upstreams for some time."""
        end = self.now + seconds
        while self.now < end:
            super().advance(LIST_INTERVAL_SECONDS)
            for name in self.due_crashes():
                self.late_crashes.append(name)
                self.crash(name)

    def due_crashes(self):
        """Return the upstreams that crash now."""
        known = self.scheduler.state.upstreams
        return [
            name
            for name, model in self.upstreams.items()
            if any(
                self.now - known[name].runs[task].started_at >= CRASH_SECONDS
                for task in self.late & set(model.running)
            )
        ]

    def crash_under(self, task):
        """Crash the upstream that runs a task, and wait until it is back."""
        (name,) = [n for n, u in self.upstreams.items() if task in u.running]
        self.crash(name)
        self.advance(DOWN_SECONDS + 1.5)

    def losses(self, task=TASK):
        """Return the late losses of a task."""
        return self.scheduler.state.late_losses.losses_by_task.get(task, [])


def share_labels(fleet, labels_of):
    """Give each upstream the labels of its place."""
    for name, model in fleet.upstreams.items():
        model.entry = replace(model.entry, labels=frozenset(labels_of(name)))
        fleet._entries[name] = model.entry
        fleet.scheduler.upstream_listed(model.entry, fleet.now)


class TestCause:
    """Test the task that is the cause."""

    @pytest.mark.parametrize(
        "step",
        [make_step(), make_step(is_lasting=True), make_step(3, is_gang=True)],
        ids=["short", "lasting", "gang"],
    )
    def test_it_is_started_no_more_than_twice_after_three_crashes(self, step):
        fleet = LateFleet(8, [DEADLY])
        add(fleet, make_job(step, name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.late_crashes) <= MAX_STARTS
        assert not fleet.scheduler.state.late_losses.held_until

    def test_it_is_told_apart_from_the_tasks_beside_it(self):
        fleet = LateFleet(6, [DEADLY])
        add(fleet, make_job(make_step(8, is_lasting=True), name=JOB))
        fleet.advance(OUTLIVED_SECONDS)
        add(fleet, make_job(name=DEADLY_JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert len(fleet.late_crashes) <= MAX_STARTS
        fleet.advance(DOWN_SECONDS + 1.0)
        assert not fleet.state_of(JOB).is_final()
        assert sum(len(u.running) for u in fleet.upstreams.values()) == 8

    def test_two_of_them_are_told_apart(self):
        other = TaskId("e" * 16, 0, 0, 0)
        fleet = LateFleet(12, [DEADLY, other])
        add(fleet, make_job(name=DEADLY_JOB))
        fleet.advance(2.0)
        add(fleet, make_job(name=other.job))
        fleet.advance(3 * VERDICT_SECONDS)
        assert fleet.state_of(DEADLY_JOB) is JobState.FAILED
        assert fleet.state_of(other.job) is JobState.FAILED

    def test_it_waits_for_the_news_of_its_crashes(self):
        fleet = LateFleet(8, [DEADLY])
        add(fleet, make_job(name=DEADLY_JOB))
        for _ in range(80):
            if len(fleet.late_crashes) == MAX_STARTS:
                break
            fleet.advance(LIST_INTERVAL_SECONDS)
        assert any(not loss.is_crash for loss in fleet.losses(DEADLY))
        fleet.advance(1.0)
        assert not fleet.runs_of(DEADLY)

    def test_wait_for_news_that_never_comes_ends(self):
        fleet = LateFleet(8, [DEADLY])
        add(fleet, make_job(make_step(is_lasting=True), name=DEADLY_JOB))
        fleet._return_crashed = lambda: None
        fleet.advance(VERDICT_SECONDS)
        assert not fleet.state_of(DEADLY_JOB).is_final()
        assert len(fleet.late_crashes) > MAX_STARTS
        waits = [e for e in fleet.scheduler.pop_events() if e.event == "task-waits"]
        assert HELD in {event.reason for event in waits}


class TestInnocent:
    """Test tasks that are lost in crashes with another cause."""

    def start(self, fleet, *steps):
        """Start a job whose tasks go on for long."""
        add(fleet, make_job(*(steps or (make_step(is_lasting=True),)), name=JOB))
        fleet.advance(1.0)

    def test_two_upstreams_that_crash_in_turn_fail_no_task(self):
        fleet = LateFleet(2)
        for name in "abc":
            add(fleet, make_job(make_step(is_lasting=True), name=name * 16))
        fleet.advance(1.0)
        for _ in range(8):
            fleet.crash_under(TASK)
        assert len(fleet.losses()) >= MAX_STARTS
        assert not any(fleet.state_of(name * 16).is_final() for name in "abc")

    def test_crash_that_a_suspect_may_have_caused_fails_no_other_task(self):
        fleet = LateFleet(6)
        self.start(fleet)
        # It never finds room for a trial.
        suspect = TaskId("b" * 16, 0, 0, 0)
        add(fleet, make_job(make_step(cpu=99 * CORE), name=suspect.job))
        fleet.advance(LIST_INTERVAL_SECONDS)
        state = fleet.scheduler.state
        losses = state.jobs[suspect.job].steps[(0, 0)].task(0).losses
        for run in range(MAX_STARTS):
            (name,) = [n for n, u in fleet.upstreams.items() if TASK in u.running]
            losses.append(RunLoss(run, name, 1, suspects=9))
            state.suspects.add(suspect, name, fleet.now, run, False)
            fleet.crash_under(TASK)
        fleet.advance(1.0)
        assert len(fleet.losses()) == MAX_STARTS
        assert not fleet.state_of(JOB).is_final()
        state.suspects.remove(suspect)
        fleet.advance(LIST_INTERVAL_SECONDS)
        assert fleet.state_of(JOB) is JobState.FAILED

    def test_run_of_an_earlier_owner_counts_for_nobody(self):
        """Guards against a run of unknown age that looks young to its second owner."""
        fleet = LateFleet(6)
        self.start(fleet)
        fleet.replace_owner()
        fleet.advance(1.0)
        fleet.crash_under(TASK)
        assert not fleet.losses()

    def test_upstreams_that_crash_without_the_task_as_well_fail_no_task(self):
        fleet = LateFleet(8)
        self.start(fleet)
        for _ in range(8):
            fleet.advance(2.0)
            idle = next(n for n, u in fleet.upstreams.items() if not u.running)
            fleet.crash(idle)
            fleet.advance(2.0)
            fleet.crash_under(TASK)
        assert len(fleet.losses()) >= MAX_STARTS
        assert not fleet.state_of(JOB).is_final()

    def test_racks_that_lose_power_one_after_the_other_fail_no_task(self):
        fleet = LateFleet(6)
        self.start(fleet)
        for _ in range(8):
            names = list(fleet.upstreams)
            (busy,) = [n for n in names if fleet.upstreams[n].running]
            idle = next(n for n in names if n != busy)
            for name in (busy, idle):
                fleet.cut_power(name)
            fleet.advance(DOWN_SECONDS + 4.0)
            assert not fleet.losses()
        assert not fleet.state_of(JOB).is_final()

    def test_crashes_in_one_place_fail_no_task(self):
        fleet = LateFleet(6)
        share_labels(fleet, lambda name: {"rack"})
        self.start(fleet)
        for _ in range(8):
            fleet.crash_under(TASK)
        assert not fleet.state_of(JOB).is_final()

    def test_crashes_that_come_long_after_the_start_count_for_nobody(self):
        fleet = LateFleet(6)
        self.start(fleet)
        for _ in range(6):
            fleet.advance(OUTLIVED_SECONDS)
            fleet.crash_under(TASK)
            assert not fleet.losses()
        assert not fleet.state_of(JOB).is_final()

    def test_task_that_goes_on_is_cleared(self):
        fleet = LateFleet(6)
        self.start(fleet)
        for _ in range(4):
            fleet.crash_under(TASK)
        assert len(fleet.losses()) == 4
        fleet.advance(OUTLIVED_SECONDS)
        assert not fleet.losses()
        assert not fleet.scheduler.state.late_losses.held_until

    def test_failed_run_clears_its_task(self):
        fleet = LateFleet(6)
        self.start(fleet)
        for _ in range(4):
            fleet.crash_under(TASK)
        fleet.finish(TASK, EndReason.FAILED)
        fleet.renew_all()
        assert not fleet.losses()

    def test_job_that_is_set_apart_is_forgotten(self):
        fleet = LateFleet(6)
        self.start(fleet)
        fleet.crash_under(TASK)
        assert fleet.losses()
        fleet.scheduler.state.set_apart(JOB, ValueError("test"))
        assert not fleet.losses()

    def test_job_that_ends_is_forgotten(self):
        fleet = LateFleet(6)
        self.start(fleet)
        fleet.crash_under(TASK)
        assert fleet.losses()
        fleet.scheduler.cancel_job(JOB)
        assert not fleet.losses()

    def test_upstreams_out_of_reach_are_no_crashes(self):
        fleet = LateFleet(6)
        self.start(fleet, make_step(may_run_twice=True))
        renew = fleet.renew
        for _ in range(8):
            silent = {n for n, u in fleet.upstreams.items() if u.running}
            fleet.renew = lambda name, silent=silent: (
                None if name in silent else renew(name)
            )
            for name in silent:
                fleet.scheduler.renewal_failed(name, fleet.now)
            fleet.advance(1.0)
            assert fleet.losses()
            fleet.renew = renew
            fleet.advance(0.5)
            assert not fleet.losses()
        assert not fleet.state_of(JOB).is_final()

    def test_task_beside_others_that_crash_as_they_start_is_not_given_up(self):
        fleet = LateFleet(6, cpu=8 * CORE)
        self.start(fleet)
        for number in range(8):
            fleet.advance(0.5)
            (name,) = [n for n, u in fleet.upstreams.items() if TASK in u.running]
            other = TaskId(f"{number:016x}", 0, 0, 0)
            fleet.deadly.add(other)
            # It starts beside the task.
            fleet.scheduler.fleet.cordon(set(fleet.upstreams) - {name})
            add(fleet, make_job(name=other.job))
            fleet.place()
            fleet.scheduler.fleet.cordon(set())
            fleet.advance(3.0)
        fleet.advance(VERDICT_SECONDS)
        assert not fleet.state_of(JOB).is_final()
        assert fleet.runs_of(TASK) == 1
