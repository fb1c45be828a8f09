"""Test unreachable upstreams, restarts and owners that take over."""

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason, StartResult

from .fleet_model import add, make_job, make_step

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)


class TestUnreachableUpstreams:
    """Test upstreams that do not respond or that restart."""

    def test_task_runs_again_once_the_last_lease_has_expired(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        other = "u1" if order.upstream == "u0" else "u0"
        fleet.now += 4.0
        fleet.renew(other)
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        assert fleet.plan_starts() == []
        fleet.now += 1.2
        fleet.renew(other)
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        (again,) = fleet.plan_starts()
        assert again.upstream != order.upstream

    def test_lease_expires_without_another_failed_renewal(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        other = "u1" if order.upstream == "u0" else "u0"
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        fleet.now += 4.0
        fleet.renew(other)
        fleet.scheduler.expire_unreachable(fleet.now)
        assert fleet.plan_starts() == []
        fleet.now += 1.2
        fleet.renew(other)
        fleet.scheduler.expire_unreachable(fleet.now)
        assert [again.run for again in fleet.plan_starts()] == [2]

    def test_runs_of_an_earlier_incarnation_are_requeued(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        fleet.upstreams[order.upstream].restart()
        fleet.renew_all()
        assert [again.run for again in fleet.place()] == [2]

    def test_start_of_unknown_outcome_is_stopped_at_the_next_incarnation(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.plan_starts()
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        fleet.upstreams[order.upstream].restart()
        fleet.renew_all()
        assert fleet.plan_starts() == []
        assert [stop.run for stop in fleet.send_stops()] == [1]
        late = fleet.upstreams[order.upstream].start(order, 1, fleet.now + 4, fleet.now)
        assert late is StartResult.OLD_RUN
        fleet.renew_all()
        assert [again.run for again in fleet.plan_starts()] == [2]

    def test_stop_confirmed_by_one_incarnation_does_not_hold_for_the_next(self, fleet):
        # A late start could begin a run there, beside the run of the requeued task.
        add(fleet, make_job())
        (order,) = fleet.plan_starts()
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        fleet.renew_all()
        assert [stop.run for stop in fleet.send_stops()] == [1]
        fleet.upstreams[order.upstream].restart()
        fleet.renew_all()
        assert fleet.plan_starts() == []
        fleet.now += 1.0
        assert [stop.run for stop in fleet.send_stops()] == [1]
        late = fleet.upstreams[order.upstream].start(order, 1, fleet.now + 4, fleet.now)
        assert late is StartResult.OLD_RUN
        fleet.renew_all()
        assert [again.run for again in fleet.plan_starts()] == [2]

    def test_start_that_the_next_incarnation_carried_out_is_kept(self, fleet):
        # Its response was not there yet when the new incarnation reported it.
        add(fleet, make_job())
        (order,) = fleet.plan_starts()
        model = fleet.upstreams[order.upstream]
        model.restart()
        model.start(order, 1, fleet.now + 4, fleet.now)
        fleet.renew_all()
        assert fleet.send_stops() == []
        fleet.scheduler.start_answered(order, StartResult.STARTED, fleet.now)
        fleet.renew_all()
        assert fleet.send_stops() == []
        assert fleet.plan_starts() == []
        assert fleet.runs_of(FIRST) == 1

    def test_lease_by_the_clock_of_an_earlier_incarnation_is_the_longest(self, fleet):
        # The new incarnation has a clock of its own, so it grants as long as it may.
        add(fleet, make_job())
        (order,) = fleet.plan_starts()
        model = fleet.upstreams[order.upstream]
        model.restart()
        model.start(order, 1, fleet.now + 10, fleet.now)
        fleet.scheduler.start_answered(order, StartResult.STARTED, fleet.now)
        fleet.renew_all()
        for _ in range(20):
            fleet.now += 0.5
            fleet.renew("u1" if order.upstream == "u0" else "u0")
            fleet.scheduler.renewal_failed(order.upstream, fleet.now)
            assert fleet.plan_starts() == []
        fleet.now += 1.0
        fleet.renew("u1" if order.upstream == "u0" else "u0")
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        assert [again.run for again in fleet.plan_starts()] == [2]

    def test_runs_of_the_new_incarnation_alone_wait_no_longer(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        fleet.upstreams[order.upstream].restart()
        fleet.renew_all()
        fleet.scheduler.upstream_listed(
            fleet.upstreams[order.upstream].entry, fleet.now
        )
        upstream = fleet.scheduler.state.upstreams[order.upstream]
        assert upstream.latest_lease_expiry(7.5) < fleet.now + 5.5

    def test_old_record_acknowledges_no_end_of_a_new_incarnation(self, fleet):
        add(fleet, make_job(make_step(2)))
        (first, _) = fleet.place()
        fleet.finish(FIRST)
        fleet.renew_all()
        applied = fleet.scheduler.applied_ends()
        fleet.upstreams[first.upstream].restart()
        fleet.renew_all()
        fleet.scheduler.upstream_listed(
            fleet.upstreams[first.upstream].entry, fleet.now
        )
        others = fleet.upstreams.keys() - {first.upstream}
        fleet.scheduler.fleet.cordon(others)
        fleet.place()
        (again, *_) = fleet.upstreams[first.upstream].running
        fleet.finish(again)
        fleet.renew_all()
        upstream = fleet.scheduler.state.upstreams[first.upstream]
        recorded_before = upstream.recorded_end
        fleet.scheduler.ends_recorded(applied)
        assert upstream.applied_end == 1
        assert upstream.recorded_end == recorded_before

    def test_repeated_stops_do_not_hide_that_a_run_has_ended(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.place()
        model = fleet.upstreams[order.upstream]
        fleet.scheduler.state.upstreams[order.upstream].runs[FIRST].is_stalled = True
        del model.running[FIRST]
        for _ in range(3):
            requested_at = fleet.now
            # The response to the stop arrives while the report is pending.
            fleet.now += 0.7
            fleet.send_stops()
            fleet.now += 0.2
            report = model.report(0)
            fleet.scheduler.report_received(
                order.upstream, report, requested_at, fleet.now
            )
        assert [again.run for again in fleet.plan_starts()] == [2]

    def test_start_that_took_effect_without_a_response_is_kept(self, fleet):
        add(fleet, make_job())
        (order,) = fleet.plan_starts()
        fleet.upstreams[order.upstream].start(order, 1, fleet.now + 4, fleet.now)
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        fleet.renew_all()
        assert fleet.send_stops() == []
        assert fleet.plan_starts() == []

    def test_upstream_with_an_overdue_start_gets_no_more_starts(self, fleet):
        add(fleet, make_job())
        fleet.plan_starts()
        fleet.now += 0.3
        add(fleet, make_job(name="1" * 16))
        (second,) = fleet.plan_starts()
        assert second.task.job == "1" * 16
        upstream_by_job = {
            run.task.job: upstream.id
            for upstream in fleet.scheduler.state.upstreams.values()
            for run in upstream.runs.values()
        }
        assert len(set(upstream_by_job.values())) == 2


class TestTakeover:
    """Test an owner that starts from the recorded progress."""

    def take_over(self, fleet, recorded, job):
        """Replace the owner by one that reads the recorded progress of a job."""
        fleet.epoch += 1
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job, recorded, fleet.now)

    def test_running_task_is_not_restarted(self, fleet):
        job = make_job()
        add(fleet, job)
        fleet.scheduler.plan_starts(fleet.now, 0)
        recorded = fleet.scheduler.pop_dirty_progress()[JOB]
        fleet.upstreams["u0"].running[FIRST] = 1
        self.take_over(fleet, recorded, job)
        fleet.renew_all()
        assert fleet.place() == []
        assert fleet.runs_of(FIRST) == 1

    def test_start_that_never_arrived_is_repeated(self, fleet):
        job = make_job()
        add(fleet, job)
        fleet.scheduler.plan_starts(fleet.now, 0)
        recorded = fleet.scheduler.pop_dirty_progress()[JOB]
        self.take_over(fleet, recorded, job)
        assert fleet.place() == []
        fleet.renew_all()
        assert [order.run for order in fleet.place()] == [2]

    def test_task_of_an_unlisted_upstream_is_requeued_only_after_a_delay(self, fleet):
        job = make_job()
        add(fleet, job)
        (order,) = fleet.scheduler.plan_starts(fleet.now, 0)
        recorded = fleet.scheduler.pop_dirty_progress()[JOB]
        del fleet.upstreams[order.upstream]
        self.take_over(fleet, recorded, job)
        fleet.renew_all()
        fleet.scheduler.remove_unlisted(fleet.now)
        assert fleet.place() == []
        # The previous owner may reach it, and may have renewed its leases until now.
        fleet.now += 7.3
        fleet.scheduler.remove_unlisted(fleet.now)
        assert fleet.place() == []
        fleet.now += 0.5
        fleet.scheduler.remove_unlisted(fleet.now)
        fleet.renew_all()
        assert len(fleet.place()) == 1

    def test_recorded_failure_is_counted_once(self, fleet):
        job = make_job()
        add(fleet, job)
        (order,) = fleet.place()
        fleet.finish(FIRST, EndReason.FAILED)
        fleet.renew(order.upstream)
        recorded = fleet.scheduler.pop_dirty_progress()[JOB]
        # The end is recorded, but it was not acknowledged to the upstream.
        self.take_over(fleet, recorded, job)
        fleet.renew_all()
        job_run = fleet.scheduler.state.jobs[JOB]
        assert job_run.state is not JobState.FAILED
        assert [again.run for again in fleet.place()] == [2]

    def test_record_contains_only_what_the_next_owner_needs(self, fleet):
        job = make_job(make_step(2), make_step(after=(0,)))
        add(fleet, job)
        fleet.place()
        fleet.finish(FIRST)
        fleet.renew_all()
        recorded = fleet.scheduler.pop_dirty_progress()[JOB]
        assert recorded.tasks["0.0.0"].upstream == ""
        assert recorded.tasks["0.0.1"].upstream != ""
        self.take_over(fleet, recorded, job)
        fleet.renew_all()
        assert fleet.place() == []
        fleet.finish(TaskId(JOB, 0, 0, 1))
        fleet.renew_all()
        assert len(fleet.place()) == 1
        fleet.finish(TaskId(JOB, 0, 1, 0))
        fleet.renew_all()
        ended = fleet.scheduler.pop_dirty_progress()[JOB]
        assert ended.state is JobState.COMPLETED
        assert ended.tasks == {}

    def test_run_of_a_job_that_is_not_scheduled_is_stopped(self, fleet):
        job = make_job()
        add(fleet, job)
        fleet.place()
        fleet.scheduler = fleet.make_scheduler()
        fleet.renew_all()
        assert [stop.task for stop in fleet.send_stops()] == [FIRST]
