"""Test work that only an ejected upstream can do.

The only upstream with a label was ejected. After that, its probe ran for a minute and
kept it closed, so other work with the label waited for as long, beside 28 free cores.
"""

from dataclasses import replace

import pytest

from baobablane.deployment import Resources
from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason

from .fleet_model import CORE, ModelFleet, add, make_job, make_queue, make_step
from .fleet_model import make_configuration as configure

LABEL = "accelerator"
LONG, SHORT = "1" * 16, "2" * 16
EJECTION_SECONDS = 5.0
# For so long, a job may have nothing running in calm: 4 s and 3 s more.
MAX_WAIT_SECONDS = 7.0


def make_fleet(label=LABEL, cpu=8 * CORE):
    """Return ten upstreams, of which only the first has the label and the size."""
    queues = [make_queue(attempts=9)]
    fleet = ModelFleet(count=10, cpu=4 * CORE, configuration=configure(queues=queues))
    for name, model in fleet.upstreams.items():
        fields = {f: getattr(model.entry, f) for f in model.entry.__slots__}
        if name == "u0":
            fields["capacity"] = Resources(cpu, 1_000_000, 0)
            fields["labels"] |= {label}
        model.entry = type(model.entry)(**fields)
        fleet.scheduler.upstream_listed(model.entry, fleet.now)
    fleet.renew_all()
    return fleet


def make_only_step(kind, count=1):
    """Return a step that only the first upstream can run."""
    if kind == "label":
        return make_step(count, required_label=LABEL)
    return make_step(count, cpu=5 * CORE)


def wait(fleet, seconds):
    """Let time pass, with a renewal each half second."""
    for _ in range(round(2 * seconds)):
        fleet.now += 0.5
        fleet.renew_all()


def eject_first(fleet, times=1):
    """Let tasks fail on the first upstream until it was ejected several times."""
    ejections = fleet.scheduler.state.ejections
    while ejections._by_id.get("u0") is None or (
        ejections._by_id["u0"].ejections < times
    ):
        ejections.record_sent("u0", fleet.now)
        ejections.record_failure("u0", list(fleet.upstreams), fleet.now)
        if ejections._by_id["u0"].ejections < times:
            fleet.now = max(fleet.now, ejections._by_id["u0"].ejected_until)
    fleet.renew_all()


class TestLongProbe:
    """Test work behind the long probe of an upstream that was ejected."""

    @pytest.mark.parametrize("kind", ["label", "size"])
    def test_other_work_starts_beside_a_probe_that_goes_on(self, kind):
        fleet = make_fleet()
        eject_first(fleet)
        add(fleet, make_job(make_step(required_label=LABEL), name=LONG))
        assert fleet.place() == []
        wait(fleet, EJECTION_SECONDS)
        assert [order.task.job for order in fleet.place()] == [LONG]
        wait(fleet, 2.0)
        add(fleet, make_job(make_only_step(kind), name=SHORT))
        assert [order.upstream for order in fleet.place()] == ["u0"]

    def test_little_starts_while_no_probe_has_a_result(self):
        fleet = make_fleet()
        eject_first(fleet)
        add(fleet, make_job(make_step(required_label=LABEL), name=LONG))
        wait(fleet, EJECTION_SECONDS)
        assert len(fleet.place()) == 1
        starts = 0
        for number in range(8):
            add(fleet, make_job(make_only_step("label"), name=f"{number + 3:016}"))
            wait(fleet, 0.5)
            starts += len(fleet.place()) > 0
        assert starts <= 2

    def test_success_ends_the_ejection_at_once(self):
        fleet = make_fleet()
        eject_first(fleet)
        add(fleet, make_job(make_step(required_label=LABEL), name=LONG))
        wait(fleet, EJECTION_SECONDS)
        fleet.place()
        fleet.finish(TaskId(LONG, 0, 0, 0))
        fleet.renew_all()
        add(fleet, make_job(make_only_step("label"), name=SHORT))
        assert len(fleet.place()) == 1

    def test_failure_beside_the_probe_ejects_again(self):
        fleet = make_fleet()
        eject_first(fleet)
        add(fleet, make_job(make_step(required_label=LABEL), name=LONG))
        wait(fleet, EJECTION_SECONDS)
        fleet.place()
        wait(fleet, 2.0)
        add(fleet, make_job(make_only_step("label"), name=SHORT))
        fleet.place()
        fleet.finish(TaskId(SHORT, 0, 0, 0), EndReason.FAILED)
        fleet.renew_all()
        assert fleet.place() == []
        assert fleet.scheduler.state.ejections.is_ejected("u0", fleet.now)


class TestGangs:
    """Test gangs that no healthy upstream, or all of them, can hold."""

    def make_fleet(self):
        """Return ten upstreams with the label on three, of which two are ejected."""
        fleet = make_fleet()
        for name in ("u1", "u2"):
            model = fleet.upstreams[name]
            labels = model.entry.labels | {LABEL}
            model.entry = replace(model.entry, labels=labels)
            fleet.scheduler.upstream_listed(model.entry, fleet.now)
        ejections = fleet.scheduler.state.ejections
        for name in ("u1", "u2"):
            while not ejections.is_ejected(name, fleet.now):
                ejections.record_failure(name, list(fleet.upstreams), fleet.now)
        # They are ejected for longer than the last resort waits.
        wait(fleet, EJECTION_SECONDS)
        for name in ("u1", "u2"):
            ejections.record_sent(name, fleet.now)
            ejections.record_failure(name, list(fleet.upstreams), fleet.now)
        wait(fleet, EJECTION_SECONDS + 0.5)
        return fleet

    def make_gang(self, count):
        """Return a gang of tasks of one core that need the label."""
        step = make_step(count, is_gang=True, required_label=LABEL)
        return make_job(step, name=SHORT)

    def test_gang_that_the_healthy_one_can_not_hold_uses_all(self):
        """Guards against a gang that waits on idle upstreams."""
        fleet = self.make_fleet()
        add(fleet, self.make_gang(14))
        assert {order.upstream for order in fleet.place()} == {"u0", "u1", "u2"}

    def test_gang_that_the_healthy_one_can_hold_uses_no_other(self):
        fleet = self.make_fleet()
        add(fleet, make_job(make_step(4, required_label=LABEL), name=LONG))
        fleet.place()
        add(fleet, self.make_gang(8))
        assert fleet.place() == []
        for position in range(4):
            fleet.finish(TaskId(LONG, 0, 0, position))
        fleet.renew_all()
        assert {order.upstream for order in fleet.place()} == {"u0"}

    def test_long_running_tasks_leave_no_room_that_a_gang_could_wait_for(self):
        """Guards against a wait for room that is taken for hours."""
        fleet = self.make_fleet()
        lasting = make_step(4, required_label=LABEL, is_lasting=True)
        add(fleet, make_job(lasting, name=LONG))
        assert {order.upstream for order in fleet.place()} == {"u0"}
        add(fleet, self.make_gang(8))
        assert {"u1", "u2"} & {order.upstream for order in fleet.place()}

    def test_gang_that_all_together_can_not_hold_starts_nowhere(self):
        fleet = self.make_fleet()
        add(fleet, self.make_gang(17))
        assert fleet.place() == []


class TestRepeatedEjections:
    """Test the wait for an upstream that was ejected several times, then got sound."""

    @pytest.mark.parametrize("kind", ["label", "size"])
    def test_wait_does_not_grow_for_work_that_only_it_can_do(self, kind):
        fleet = make_fleet()
        eject_first(fleet, times=4)
        add(fleet, make_job(make_only_step(kind), name=SHORT))
        assert fleet.place() == []
        wait(fleet, MAX_WAIT_SECONDS)
        assert [order.upstream for order in fleet.place()] == ["u0"]

    def test_work_that_others_can_do_does_not_use_it(self):
        fleet = make_fleet()
        eject_first(fleet, times=4)
        wait(fleet, MAX_WAIT_SECONDS)
        add(fleet, make_job(make_step(9 * 4 + 8), name=SHORT))
        orders = fleet.place()
        assert len(orders) == 9 * 4
        assert "u0" not in {order.upstream for order in orders}

    def test_small_task_without_room_does_not_hide_a_large_one(self):
        fleet = make_fleet()
        eject_first(fleet, times=4)
        wait(fleet, MAX_WAIT_SECONDS)
        add(fleet, make_job(make_step(9 * 4 + 1), name=LONG))
        add(fleet, make_job(make_only_step("size"), name=SHORT))
        assert [o.upstream for o in fleet.place() if o.task.job == SHORT] == ["u0"]

    def test_limit_per_upstream_leaves_only_the_ejected_one(self):
        fleet = make_fleet()
        eject_first(fleet, times=4)
        wait(fleet, MAX_WAIT_SECONDS)
        add(fleet, make_job(make_step(10, most_per_upstream=1), name=SHORT))
        assert sorted(order.upstream for order in fleet.place()) == sorted(
            fleet.upstreams
        )

    def test_attempts_are_not_used_up_while_it_fails(self):
        fleet = make_fleet()
        add(fleet, make_job(make_step(required_label=LABEL), name=LONG))
        for _ in range(6):
            for _ in fleet.place():
                fleet.finish(TaskId(LONG, 0, 0, 0), EndReason.FAILED)
            wait(fleet, 0.5)
        task = fleet.scheduler.state.jobs[LONG].find_task(TaskId(LONG, 0, 0, 0))[1]
        assert task.failures <= 2
        assert fleet.scheduler.state.jobs[LONG].state is not JobState.FAILED
