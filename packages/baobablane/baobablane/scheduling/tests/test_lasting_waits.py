"""Search for long-running tasks that wait although there is room for them.

One that isn't run again soon after all is calm earns nothing, and its callers see that
it doesn't run.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobablane.jobs import TaskId

from .fleet_model import CORE, add, make_job, make_step
from .waiting_model import WaitingFleet

LASTING_JOBS = ("1" * 16, "2" * 16)
# They make most upstreams busy.
LARGE_JOBS = tuple(digit * 16 for digit in "34567")
DEADLY_JOB = "d" * 16
DEADLY = TaskId(DEADLY_JOB, 0, 0, 0)
# A long-running task runs again this long after the last disruption.
MAX_WAIT_SECONDS = 6.0
MAX_STARTS = 5

upstream_numbers = st.integers(0, 5)
disruptions = st.one_of(
    st.tuples(
        st.sampled_from(
            ["crash", "cut_power", "remove", "silence", "restart", "evict", "cordon"]
        ),
        st.lists(upstream_numbers, min_size=1, max_size=3, unique=True),
    ),
    st.tuples(
        st.just("lose_answers"),
        st.lists(st.sampled_from(["lost", "unheard", "late"]), max_size=4),
    ),
    st.tuples(st.sampled_from(["replace_owner", "short_jobs", "finish"]), st.just([])),
)
pauses = st.sampled_from([0.0, 0.0, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0])
days = st.lists(st.tuples(disruptions, pauses), max_size=12)


def disrupt(fleet, kind, details):
    """Apply a disruption to a fleet; `details` are numbers of instances."""
    if kind == "lose_answers":
        fleet.lose_answers(details)
    elif kind == "replace_owner":
        fleet.replace_owner()
    elif kind == "short_jobs":
        fleet.add_short_jobs(3, 8)
    elif kind == "finish":
        fleet.advance(0.25, finish=True)
    else:
        names = [n for n in fleet.upstreams if int(n[1]) in details]
        if kind == "cordon":
            fleet.scheduler.fleet.cordon(set(names))
        for name in names:
            if kind == "silence":
                fleet.silence(name, 2.0 + int(name[1]))
            elif kind == "remove" and len(fleet.upstreams) <= 3:
                fleet.cut_power(name)
            elif kind != "cordon":
                getattr(fleet, kind)(name)


def play(fleet, day):
    """Apply disruptions, each followed by a pause."""
    for (kind, details), pause in day:
        disrupt(fleet, kind, details)
        fleet.place()
        if pause:
            fleet.advance(pause)


class TestCalm:
    """Test long-running tasks once everything answers and there is room."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(day=days, may_run_twice=st.booleans(), is_busy=st.booleans())
    def test_long_running_tasks_run_again(self, day, may_run_twice, is_busy):
        fleet = WaitingFleet(cpu=8 * CORE)
        for name in LARGE_JOBS if is_busy else ():
            add(fleet, make_job(make_step(cpu=2 * CORE, is_lasting=True), name=name))
        for name in LASTING_JOBS:
            step = make_step(2, is_lasting=True, may_run_twice=may_run_twice)
            add(fleet, make_job(step, name=name))
        play(fleet, day)
        fleet.calm(MAX_WAIT_SECONDS)
        assert fleet.missing() == []

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(day=days, is_lasting=st.booleans())
    def test_deadly_task_is_not_started_without_end(self, day, is_lasting):
        fleet = WaitingFleet(cpu=8 * CORE, deadly=[DEADLY])
        add(fleet, make_job(make_step(is_lasting=is_lasting), name=DEADLY_JOB))
        play(fleet, day)
        fleet.calm(3 * MAX_WAIT_SECONDS)
        events = fleet.past_events + fleet.scheduler.pop_events()
        # A crash at the same time as that of an idle upstream counts for nobody.
        excused = sum(event.reason == "crashed with others" for event in events)
        assert len(fleet.crashed_starts) - excused <= MAX_STARTS
