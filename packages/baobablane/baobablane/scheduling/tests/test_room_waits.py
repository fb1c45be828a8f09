"""Test that a job which waits for something else than room keeps no other waiting.

A job without a ticket was taken for one without room. All jobs of its pool that needed
as much and came after it were not tried, on idle upstreams.
"""

from dataclasses import replace

import pytest

from baobablane.jobs import TaskId

from .fleet_model import ModelFleet, add, make_configuration, make_job, make_queue
from .fleet_model import make_step as make_model_step

FIRST, OTHER, FULL = "1" * 16, "2" * 16, "3" * 16
SECONDS = 5.0
UPSTREAMS = 4
CORES = 4


def refuse_all(fleet, request):
    """Answer that no upstream is allowed."""
    fleet.scheduler.advice_received(request, {}, fleet.now + 3.0)


def answer_nothing(fleet, request):
    """Give no answer, so that the advice is requested again."""
    fleet.scheduler.advice_received(request, None, 0.0)


def keep_silent(fleet, request):
    """Leave the request in flight."""


def allow_first(fleet, request):
    """Allow only the upstream that is full."""
    tickets = {name: "ticket" for name in request.upstreams if name == "u0"}
    fleet.scheduler.advice_received(request, tickets, fleet.now + 60.0)


ADVICE = [refuse_all, answer_nothing, keep_silent, allow_first]
STEPS = [{}, {"is_lasting": True}, {"count": 3}, {"count": 3, "is_lasting": True}]
# Constraints of a step that no upstream, or only a full one, meets.
CONSTRAINTS = [
    {"required_label": "missing"},
    {"required_label": "first"},
    {"most_per_upstream": 1, "count": UPSTREAMS + 1},
    {"is_gang": True, "count": UPSTREAMS * CORES + 1},
    {"is_gang": True, "count": 2, "required_label": "first"},
]


def make_step(count=1, **fields):
    """Return a step of tasks that need a core each."""
    return make_model_step(count, **fields)


class Fleet(ModelFleet):
    """Simulate idle upstreams, and two queues of which one goes first."""

    def __init__(self, needs_advice):
        """Fill the upstream with the label `first`, and leave the others idle."""
        first = replace(make_queue("first"), needs_advice=needs_advice)
        other = make_queue("other", priority=1)
        configuration = make_configuration(queues=[first, other])
        super().__init__(count=UPSTREAMS, cpu=CORES * 1000, configuration=configuration)
        self.label("u0", "first")
        self.renew_all()
        full = make_step(CORES, required_label="first", is_lasting=True)
        add(self, make_job(full, name=FULL, queue="other"))
        self.place()

    def label(self, name, label):
        """List an upstream with a label."""
        model = self.upstreams[name]
        model.entry = replace(model.entry, labels=frozenset({label}))
        self.scheduler.upstream_listed(model.entry, self.now)

    def start_others(self, step, advise=keep_silent, other=None):
        """Submit a job that waits and then another; return what the other starts."""
        add(self, make_job(step, name=FIRST, queue="first"))
        self._work(advise, SECONDS)
        add(self, make_job(other or make_step(3), name=OTHER, queue="other"))
        self._work(advise, SECONDS)
        return {
            task
            for upstream in self.upstreams.values()
            for task in upstream.running
            if task.job == OTHER
        }

    def _work(self, advise, seconds):
        until = self.now + seconds
        while self.now < until:
            self.place()
            for request in self.scheduler.pop_advice_requests():
                advise(self, request)
            self.now += 0.2
            self.renew_all()


ALL_STARTED = {TaskId(OTHER, 0, 0, position) for position in range(3)}


@pytest.mark.parametrize("advise", ADVICE)
class TestAdvice:
    """Test a job that waits for a ticket."""

    @pytest.mark.parametrize("fields", STEPS)
    def test_other_queue_is_served(self, advise, fields):
        """Guards against jobs of another queue that never begin on idle upstreams."""
        fleet = Fleet(needs_advice=True)
        assert fleet.start_others(make_step(**fields), advise) == ALL_STARTED

    def test_other_queue_gets_the_last_room(self, advise):
        """Guards against room that is kept for a job which may not use it."""
        fleet = Fleet(needs_advice=True)
        other = make_step((UPSTREAMS - 1) * CORES)
        started = fleet.start_others(make_step(is_lasting=True), advise, other)
        assert len(started) == (UPSTREAMS - 1) * CORES


@pytest.mark.parametrize("fields", CONSTRAINTS)
class TestConstraints:
    """Test a job of which no upstream, or only a full one, meets the constraints."""

    def test_other_queue_is_served(self, fields):
        """Guards against a constraint that is taken for a lack of room."""
        fleet = Fleet(needs_advice=False)
        assert fleet.start_others(make_step(**fields)) >= ALL_STARTED


class TestRoom:
    """Test a job that does wait for room."""

    def test_smaller_job_behind_it_is_tried(self):
        fleet = Fleet(needs_advice=False)
        big = make_model_step(1, CORES * 1000 + 1)
        assert fleet.start_others(big) == ALL_STARTED
