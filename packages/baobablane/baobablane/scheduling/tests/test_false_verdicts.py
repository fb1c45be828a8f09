"""Test that outside causes never make an innocent job look like one that crashes.

Each test is a path by which two losses of one task, both from outside causes, fail its
job. No task here ever crashes an upstream.
"""

from dataclasses import replace

import msgspec
import pytest

from baobablane.jobs import JobProgress, TaskId, decode_progress
from baobablane.scheduling import StartResult

from .crash_model import DOWN_SECONDS, CrashFleet
from .fleet_model import add, make_job, make_step

JOB = "a" * 16
OTHER_JOB = "b" * 16
TASK = TaskId(JOB, 0, 0, 0)
VERDICT_SECONDS = 20.0
# From the loss of power to the owner's news of it: by the poll of an upstream with
# runs that was about to end, and by the poll of an idle one that had just begun.
FIRST_NEWS_SECONDS = 0.5
LAST_NEWS_SECONDS = 2.5


def make_rack(count):
    """Return a fleet of which all upstreams are in one rack."""
    fleet = CrashFleet(count)
    for name, model in fleet.upstreams.items():
        model.entry = replace(model.entry, labels=frozenset({"rack"}))
        fleet._entries[name] = model.entry
        fleet.scheduler.upstream_listed(model.entry, fleet.now)
    return fleet


def advance_until_start(fleet):
    """Run the owner until the job's task has been started, and return its upstream."""
    for _ in range(100):
        for name, model in fleet.upstreams.items():
            if TASK in model.running:
                return name
        fleet.advance(0.25)
    raise AssertionError("no start")


def advance_until_verdict(fleet):
    """Run the owner until all upstreams are back and all leases are over."""
    fleet.advance(DOWN_SECONDS + VERDICT_SECONDS)


def losses_of(fleet, job=JOB):
    """Return the losses of the first task of a job."""
    return fleet.scheduler.state.jobs[job].steps[(0, 0)].task(0).losses


class TestRackThatFailsTwice:
    """Test a rack, all that a pool has, that loses power again as it returns."""

    def cut_all(self, fleet, news_seconds=None):
        """Cut the power of all upstreams; the owner learns of it one by one."""
        for name in list(fleet.upstreams):
            fleet.cut_power(name)
            if news_seconds:
                is_idle = not fleet.scheduler.state.upstreams[name].runs
                fleet._silent_until[name] = fleet.now + news_seconds[is_idle]

    def fail_twice(self, fleet, cut):
        """Cut the power, and again as soon as a suspect has been tried."""
        fleet.place()
        cut()
        advance_until_start(fleet)
        cut()

    def test_it_is_told_by_an_idle_upstream(self):
        fleet = make_rack(3)
        add(fleet, make_job(name=JOB))
        self.fail_twice(fleet, lambda: self.cut_all(fleet))
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_idle_upstream_is_found_to_be_gone_two_seconds_later(self):
        fleet = make_rack(3)
        add(fleet, make_job(name=JOB))
        news_seconds = (FIRST_NEWS_SECONDS, LAST_NEWS_SECONDS)
        self.fail_twice(fleet, lambda: self.cut_all(fleet, news_seconds))
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_each_upstream_had_a_young_run(self):
        fleet = make_rack(3)
        add(fleet, make_job(name=JOB))
        for other in (OTHER_JOB, "c" * 16):
            # A burst fills all that is left beside the task.
            name = advance_until_start(fleet)
            fleet.scheduler.fleet.cordon({name})
            add(fleet, make_job(make_step(8), name=other))
            fleet.place()
            fleet.scheduler.fleet.cordon(set())
            self.cut_all(fleet)
            fleet.scheduler.cancel_job(other)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_owner_is_replaced_while_it_is_dark(self):
        fleet = make_rack(3)
        add(fleet, make_job(name=JOB))

        def cut():
            self.cut_all(fleet)
            fleet.advance(2.75)
            fleet.replace_owner()

        self.fail_twice(fleet, cut)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_list_of_instances_is_unread_while_it_is_dark(self):
        fleet = make_rack(3)
        add(fleet, make_job(name=JOB))
        list_instances = fleet.list_instances

        def cut():
            self.cut_all(fleet)
            fleet.list_instances = lambda: None
            fleet.advance(DOWN_SECONDS + 1.0)
            fleet.list_instances = list_instances

        self.fail_twice(fleet, cut)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()


class TestStartThatWasNeverSent:
    """Test a trial whose upstream loses power while the start is being recorded."""

    @pytest.mark.parametrize("result", [StartResult.LATE, StartResult.NOT_SENT])
    def test_it_is_no_crash_under_its_task(self, result):
        fleet = CrashFleet(3)
        add(fleet, make_job(name=JOB))
        (order,) = fleet.place()
        fleet.crash(order.upstream)
        fleet.now += 0.3
        fleet.list_instances()
        for name in list(fleet.upstreams):
            fleet.renew(name)
        # The store takes long to record the start, so it is not sent yet.
        (trial,) = fleet.plan_starts()
        fleet.crash(trial.upstream)
        fleet.now += 0.3
        fleet.list_instances()
        # The sender finds that it must not, or can't, be sent.
        fleet.scheduler.start_answered(trial, result, fleet.now)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()


class TestOldResponse:
    """Test that a trial needs a response of the moment when it begins."""

    def suspect(self, fleet, step=None):
        """Make suspects of the tasks of a job, half a second after all responded."""
        add(fleet, make_job(step or make_step(), name=JOB))
        for name in {order.upstream for order in fleet.place()}:
            fleet.crash(name)
        fleet.now += 0.5
        fleet.list_instances()

    def test_response_of_before_starts_were_suspended_is_too_old(self):
        fleet = CrashFleet(2)
        self.suspect(fleet)
        (left,) = fleet.upstreams
        assert fleet.plan_starts() == []
        fleet.renew(left)
        # As in an outage of the store: the owner may neither start nor ask anything.
        fleet.scheduler.set_evacuation(frozenset(), False)
        for _ in range(20):
            assert fleet.plan_starts() == []
            fleet.now += 0.25
        fleet.cut_power(left)
        fleet.scheduler.set_evacuation(frozenset(), True)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_response_is_too_old_once_the_last_of_a_gang_responds(self):
        fleet = CrashFleet(4, cpu=1000)
        self.suspect(fleet, make_step(2, is_gang=True))
        (first, second) = list(fleet.upstreams)
        assert fleet.plan_starts() == []
        fleet.renew(first)
        fleet.now += 2.0
        assert fleet.plan_starts() == []
        fleet.cut_power(first)
        fleet.renew(second)
        for order in fleet.plan_starts():
            fleet.send(order)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()


class TestLaterOwner:
    """Test what an owner concludes from losses that an earlier one recorded."""

    def test_trial_that_had_settled_is_not_suspected(self):
        fleet = CrashFleet(3)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        (order,) = fleet.place()
        fleet.crash(order.upstream)
        # Nothing may start until this upstream is back.
        fleet.scheduler.set_evacuation(frozenset(), False)
        fleet.advance(DOWN_SECONDS + 0.5)
        fleet.scheduler.set_evacuation(frozenset(), True)
        name = advance_until_start(fleet)
        job_run = fleet.scheduler.state.jobs[JOB]
        record = msgspec.json.encode(job_run.progress())
        # The store is down: that the suspect was cleared is not recorded.
        fleet.advance(2.0)
        assert not losses_of(fleet)
        job_run.progress = lambda: msgspec.json.decode(record, type=JobProgress)
        fleet.cut_power(name)
        fleet.replace_owner()
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_loss_with_an_upstream_that_responds_is_withdrawn(self):
        fleet = CrashFleet(1)
        add(fleet, make_job(make_step(may_run_twice=True), name=JOB))
        (order,) = fleet.place()
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.now += 0.5
        fleet.scheduler.expire_unreachable(fleet.now)
        assert losses_of(fleet)
        fleet.replace_owner()
        fleet.list_instances()
        fleet.renew(order.upstream)
        assert not losses_of(fleet)

    def start_trial(self, fleet):
        """Lose the first run of a job in a crash, and try its task again.

        Return the upstream of the trial.
        """
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        (order,) = fleet.place()
        fleet.crash(order.upstream)
        fleet.scheduler.set_evacuation(frozenset(), False)
        fleet.advance(DOWN_SECONDS + 0.5)
        fleet.scheduler.set_evacuation(frozenset(), True)
        return advance_until_start(fleet)

    def replace_owner_by_old_record(self, fleet, record):
        """Replace an owner that could not record what it learned."""
        job_run = fleet.scheduler.state.jobs[JOB]
        job_run.progress = lambda: msgspec.json.decode(record, type=JobProgress)
        fleet.replace_owner()

    def test_trial_that_the_next_owner_saw_as_well_is_not_suspected(self):
        """Guards against evidence from an upstream that had only just responded."""
        fleet = CrashFleet(3)
        name = self.start_trial(fleet)
        record = msgspec.json.encode(fleet.scheduler.state.jobs[JOB].progress())
        fleet.advance(2.0)
        self.replace_owner_by_old_record(fleet, record)
        fleet.renew(name)
        fleet.cut_power(name)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_trial_that_restarted_unseen_after_it_had_settled_is_not_suspected(self):
        fleet = CrashFleet(3)
        name = self.start_trial(fleet)
        record = msgspec.json.encode(fleet.scheduler.state.jobs[JOB].progress())
        fleet.advance(2.0)
        model = fleet.upstreams[name]
        model.restart()
        model.entry = replace(model.entry, incarnation=round(fleet.now * 1000))
        self.replace_owner_by_old_record(fleet, record)
        assert [loss.suspects for loss in losses_of(fleet)] == [1, 0]
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    @pytest.mark.parametrize(("seconds", "suspects"), [(0.1, 1), (2.0, 0)])
    def test_trial_counts_only_if_it_was_lost_at_its_start(self, seconds, suspects):
        fleet = CrashFleet(3)
        name = self.start_trial(fleet)
        record = msgspec.json.encode(fleet.scheduler.state.jobs[JOB].progress())
        fleet.crash(name)
        fleet.now += seconds
        self.replace_owner_by_old_record(fleet, record)
        fleet.list_instances()
        assert [loss.suspects for loss in losses_of(fleet)] == [1, suspects]

    def test_crash_of_an_earlier_life_is_kept_when_the_next_one_responds(self):
        fleet = CrashFleet(1)
        add(fleet, make_job(name=JOB))
        (order,) = fleet.place()
        fleet.upstreams[order.upstream].restart()
        fleet.renew(order.upstream)
        assert [loss.is_crash for loss in losses_of(fleet)] == [True]
        fleet.replace_owner()
        fleet.renew(order.upstream)
        assert [loss.is_crash for loss in losses_of(fleet)] == [True]

    def test_record_of_before_trials_had_a_time_is_read(self):
        loss = ["u0", 1, "", 1, True, True, []]
        task = [1, 2, 0, "u1", 5, "", 0, [[1, *loss]]]
        record = msgspec.json.encode({"state": 1, "tasks": {"0.0.0": task}})
        progress = decode_progress(record)
        assert progress.tasks["0.0.0"].start_ms == 0


class TestCost:
    """Test what it costs to wait for the response of an upstream."""

    def test_waiting_trial_is_not_recorded_again(self):
        fleet = CrashFleet(2)
        add(fleet, make_job(name=JOB))
        (order,) = fleet.place()
        fleet.crash(order.upstream)
        fleet.now += 0.5
        fleet.list_instances()
        assert fleet.plan_starts() == []
        fleet.now += 0.05
        unix_ms = round(fleet.now * 1000)
        assert fleet.scheduler.plan_starts(fleet.now, unix_ms) == []
        assert fleet.record() == {}
