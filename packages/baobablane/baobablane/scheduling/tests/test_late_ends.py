"""Test ends that are reported after the task was queued again."""

from baobablane.jobs import JobState, Task, TaskId, TaskState
from baobablane.scheduling import EndReason

from .fleet_model import ModelFleet, add, make_job, make_step

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)


def begin_second_run(fleet, job, reason=EndReason.DONE):
    """End the first run of a job's first step unseen, and start the next one elsewhere.

    Return the upstream of the first run and the orders of the second.
    """
    add(fleet, job)
    first = fleet.place()
    silent = {order.upstream for order in first}
    for order in first:
        fleet.finish(order.task, reason)
    for seconds in (4.0, 1.2):
        fleet.now += seconds
        for name in fleet.upstreams:
            if name in silent:
                fleet.scheduler.renewal_failed(name, fleet.now)
            else:
                fleet.renew(name)
    second = fleet.place()
    assert {order.run for order in second} == {2}
    return first[0].upstream, second


class TestEarlierRun:
    """Test a run whose end arrives when the next run has begun."""

    def test_task_that_is_known_to_be_done_starts_no_more(self, fleet):
        # Found by the soak: the third run began after the end of the first was noted.
        add(fleet, make_job())
        (first,) = fleet.place()
        other = "u1" if first.upstream == "u0" else "u0"
        fleet.finish(FIRST)
        for seconds in (4.0, 1.2):
            fleet.now += seconds
            fleet.renew(other)
            fleet.scheduler.renewal_failed(first.upstream, fleet.now)
        (second,) = fleet.place()
        assert (second.upstream, second.run) == (other, 2)
        fleet.renew(first.upstream)
        fleet.upstreams[other].restart()
        fleet.renew_all()
        assert fleet.plan_starts() == []
        assert fleet.scheduler.state.jobs[JOB].state is JobState.COMPLETED

    def test_later_run_is_stopped(self, fleet):
        job = make_job(make_step(), make_step(after=(0,)))
        upstream, (second,) = begin_second_run(fleet, job)
        fleet.renew(upstream)
        stops = fleet.send_stops()
        assert [(s.upstream, s.run) for s in stops] == [(second.upstream, 2)]
        # The next step need not wait for that.
        assert [order.task.step for order in fleet.place()] == [1]
        fleet.renew_all()
        assert fleet.send_stops() == []

    def test_end_counts_while_the_job_is_set_apart(self, fleet):
        """Guards against an end that is lost since work on its job raised an error."""
        upstream, (second,) = begin_second_run(fleet, make_job())
        fleet.scheduler.state.set_apart(JOB, ValueError("no such step"))
        fleet.renew(upstream)
        (task,) = fleet.record()[JOB].tasks.values()
        assert (task.state, task.run) == (TaskState.DONE, 1)
        stops = []
        for _ in range(3):
            fleet.renew_all()
            assert fleet.plan_starts() == []
            stops += fleet.send_stops()
            fleet.now += 0.9
        assert {(s.upstream, s.run) for s in stops} == {(second.upstream, 2)}
        assert fleet.scheduler.state.jobs[JOB].state is JobState.COMPLETED

    def test_end_of_the_later_run_changes_nothing(self, fleet):
        job = make_job(make_step(), make_step(after=(0,)))
        upstream, (second,) = begin_second_run(fleet, job)
        fleet.renew(upstream)
        fleet.finish(second.task, EndReason.FAILED)
        fleet.renew(second.upstream)
        step_run = fleet.scheduler.state.jobs[JOB].steps[(0, 0)]
        assert (step_run.done, step_run.waiting) == (1, set())
        assert step_run.task(0).failures == 0

    def test_task_that_waits_again_is_done(self, fleet):
        """Guards against an end that is dropped between two runs."""
        upstream, (second,) = begin_second_run(fleet, make_job())
        fleet.upstreams[second.upstream].restart()
        fleet.renew(second.upstream)
        assert fleet.scheduler.state.jobs[JOB].steps[(0, 0)].waiting == {0}
        fleet.renew(upstream)
        assert fleet.plan_starts() == []
        assert fleet.scheduler.state.jobs[JOB].state is JobState.COMPLETED

    def test_start_that_is_not_sent_yet_is_not_wanted(self, fleet):
        add(fleet, make_job(make_step(), make_step(after=(0,))))
        (first,) = fleet.place()
        other = "u1" if first.upstream == "u0" else "u0"
        fleet.finish(FIRST)
        for seconds in (4.0, 1.2):
            fleet.now += seconds
            fleet.renew(other)
            fleet.scheduler.renewal_failed(first.upstream, fleet.now)
        (second,) = fleet.plan_starts()
        assert fleet.scheduler.is_start_wanted(second)
        fleet.renew(first.upstream)
        assert not fleet.scheduler.is_start_wanted(second)

    def test_whole_gang_is_done(self):
        fleet = ModelFleet(4, cpu=1000)
        fleet.renew_all()
        gang = make_job(make_step(2, is_gang=True), make_step(after=(0,)))
        upstream, second = begin_second_run(fleet, gang)
        fleet.renew(upstream)
        stops = fleet.send_stops()
        assert {(s.task, s.run) for s in stops} == {(o.task, 2) for o in second}
        for order in second:
            fleet.renew(order.upstream)
        assert [order.task.step for order in fleet.place()] == [1]

    def test_run_that_is_being_stopped_counts_for_its_upstream(self):
        """Guards against more tasks of a step on one upstream than are allowed."""
        fleet = ModelFleet(3)
        fleet.renew_all()
        add(fleet, make_job(make_step(2, most_per_upstream=1)))
        (first, other) = fleet.place()
        fleet.finish(first.task)
        for seconds in (4.0, 1.2):
            fleet.now += seconds
            fleet.scheduler.renewal_failed(first.upstream, fleet.now)
            for name in set(fleet.upstreams) - {first.upstream}:
                fleet.renew(name)
        (second,) = fleet.place()
        fleet.scheduler.fleet.cordon({first.upstream, other.upstream})
        fleet.finish(other.task, EndReason.FAILED)
        fleet.renew_all()
        assert fleet.plan_starts() == []
        assert len(fleet.send_stops()) == 1
        fleet.renew_all()
        assert [order.upstream for order in fleet.place()] == [second.upstream]

    def test_record_names_the_run_that_counts(self, fleet):
        job = make_job(make_step(), make_step(after=(0,)))
        upstream, (second,) = begin_second_run(fleet, job)
        fleet.renew(upstream)
        progress = fleet.record()[JOB]
        assert progress.tasks["0.0.0"] == Task(TaskState.DONE, 1)
        fleet.scheduler = fleet.make_scheduler()
        fleet.epoch += 1
        fleet.scheduler.add_job(job, progress, fleet.now)
        fleet.renew_all()
        stops = fleet.send_stops()
        assert [(s.upstream, s.run) for s in stops] == [(second.upstream, 2)]

    def test_other_late_ends_leave_the_later_run(self):
        cases = [
            (make_step(), EndReason.FAILED),
            (make_step(), EndReason.STOPPED),
            (make_step(is_lasting=True), EndReason.DONE),
        ]
        for step, reason in cases:
            fleet = ModelFleet()
            fleet.renew_all()
            upstream, _ = begin_second_run(fleet, make_job(step), reason)
            fleet.renew(upstream)
            assert fleet.send_stops() == []
            task = fleet.scheduler.state.jobs[JOB].steps[(0, 0)].task(0)
            assert (task.state, task.run, task.failures) == (TaskState.STARTED, 2, 0)
