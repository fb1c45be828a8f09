"""Search for errors in the work on a job after which a task is started wrongly."""

from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from baobablane.deployment import NO_RESOURCES

from .test_races import JOBS, OwnerMachine

MODULES = "baobablane.scheduling."
# More than the longest time until a job is resumed.
CALM_ROUNDS = 160
# Work that raises an error before or after it is done.
PLANNING = ("_planning._plan_others", "_starting._commit_start")
REPORTS = (
    "_reconciliation._update_health",
    "_reconciliation._finish_task",
    "_reconciliation._apply_failure",
    "_reconciliation._complete_job",
    "_reconciliation.withdraw_copy",
)


class FaultyOwnerMachine(OwnerMachine):
    """Drive owners of which the work on jobs raises errors."""

    @rule(job=st.sampled_from(JOBS))
    def set_apart(self, job):
        """Set a job apart between rounds."""
        self.fleet.scheduler.state.set_apart(job, KeyError("fault"))

    @rule(
        name=st.sampled_from(PLANNING),
        passes=st.integers(0, 3),
        is_after=st.booleans(),
    )
    def place_with_fault(self, name, passes, is_after):
        """Start what fits; the work raises an error after some calls."""
        with self.fault(name, passes, is_after):
            self.place([])

    @rule(
        name=st.sampled_from(REPORTS),
        passes=st.integers(0, 1),
        is_after=st.booleans(),
    )
    def report_with_fault(self, name, passes, is_after):
        """Apply the reports of all upstreams; the work raises an error."""
        with self.fault(name, passes, is_after):
            self.obtain_all_reports()

    @rule()
    def resume(self):
        """Let enough time pass for jobs to be resumed, under kept leases."""
        for _ in range(3):
            self.wait(0.6)
            self.obtain_all_reports()
            self.place([])

    def teardown(self):
        """Check that each job ends once all is calm, and leaves nothing behind."""
        self.unreachable_until, self.late_orders = {}, []
        for model in self.fleet.upstreams.values():
            self.fleet.scheduler.upstream_listed(model.entry, self.fleet.now)
        for _ in range(CALM_ROUNDS):
            self.wait(0.5)
            self.obtain_all_reports()
            self.stop()
            self.place([])
            self.finish_all()
        assert all(self.recorded[job].state.is_final() for job in JOBS)
        state = self.fleet.scheduler.state
        assert not state.run_count_by_job
        assert all(u.used == NO_RESOURCES for u in state.upstreams.values())

    @staticmethod
    def fault(name, passes, is_after):
        """Return a context in which work raises an error from the given call on."""
        module_name, _, attribute = (MODULES + name).rpartition(".")
        work = getattr(__import__(module_name, fromlist=[attribute]), attribute)
        calls = []

        def raise_error(*args):
            calls.append(args)
            if len(calls) <= passes:
                return work(*args)
            if is_after:
                work(*args)
            raise KeyError("fault")

        return patch(MODULES + name, raise_error)


TestFaultyOwnerMachine = FaultyOwnerMachine.TestCase
TestFaultyOwnerMachine.settings = settings(stateful_step_count=40)
