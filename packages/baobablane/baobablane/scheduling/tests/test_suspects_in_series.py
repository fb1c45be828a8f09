"""Test that many long-running suspects run again soon, however full their pool is.

Their trials went on one after the other, so the wait grew with their number.
"""

import random
from dataclasses import dataclass, field

import pytest

from baobablane.deployment import Resources
from baobablane.jobs import Step, TaskId

from . import crash_model
from .crash_model import LIST_INTERVAL_SECONDS
from .fleet_model import CORE, add, make_job, make_step
from .waiting_model import WaitingFleet

# Callers are told that a long-running task runs again this long after its last run.
MAX_WAIT_SECONDS = 6.0
TASKS = 16
SHORT_MS = 2500
# How many short tasks keep more cores at work than the pool has, when so many are added
# at this interval.
SHORT_TASKS = 16
SHORT_INTERVAL_SECONDS = 0.5
# Long enough that the pool is full.
FILL_SECONDS = 6.0
WATCH_SECONDS = 40.0
MAX_STARTS = 5
SEEDS = range(24)


@dataclass
class Result:
    """Hold what was seen in one play."""

    # The longest time without a run of each task, from the end of its last run.
    waits: dict[TaskId, float] = field(default_factory=dict)
    starts: int = 0
    crashes: int = 0
    is_given_up: bool = False


class FullFleet(WaitingFleet):
    """Simulate a fleet in which short tasks use all room that is left."""

    def __init__(self, count=6, deadly=(), is_full=False, **options):
        """Create the fleet, in which no short task has arrived."""
        self.is_full = is_full
        self.next_arrival_at = 0.0
        self.short_count = 0
        self.short_since = {}
        self.short_done = 0
        # When each task was last seen to run; it may have ended at once.
        self.ran_at = {}
        super().__init__(count, deadly, cpu=8 * CORE, **options)

    def send(self, order):
        """Send a start, and note when it is carried out."""
        result = super().send(order)
        if self.runs_of(order.task):
            self.ran_at[order.task] = self.now
        return result

    def step(self):
        """Let short tasks arrive and end, and run the owner once."""
        if self.is_full and self.now >= self.next_arrival_at:
            self.next_arrival_at = self.now + SHORT_INTERVAL_SECONDS
            self.short_count += 1
            step = Step(SHORT_TASKS, Resources(CORE, 100, 0), SHORT_MS)
            name, accepted_ms = f"{self.short_count:015x}f", round(self.now * 1000)
            add(self, make_job(step, name=name, accepted_ms=accepted_ms))
        for name, model in self.upstreams.items():
            for task in [t for t in model.running if t.job.endswith("f")]:
                since = self.short_since.setdefault((name, task), self.now)
                if self.now - since >= SHORT_MS / 1000:
                    self.finish(task)
                    self.short_done += 1
        self.advance(LIST_INTERVAL_SECONDS)

    def percent_of(self, name, task):
        """Return the progress of a run; that of a short task grows."""
        if not task.job.endswith("f"):
            return super().percent_of(name, task)
        seconds = self.now - self.short_since.setdefault((name, task), self.now)
        return min(99, round(seconds * 100_000 / SHORT_MS))

    def lose(self, names, is_silent, returns):
        """Lose upstreams, and return what ran there."""
        tasks = {task for name in names for task in self.upstreams[name].running}
        for name in names:
            if is_silent:
                self.cut_power(name)
            else:
                self.crash(name)
            if not returns:
                self._down[name.partition("-")[0]] = float("inf")
        return tasks


def lasting_tasks(count=TASKS):
    """Return long-running tasks, each of a job of its own."""
    return [TaskId(f"{number:015x}a", 0, 0, 0) for number in range(count)]


def add_lasting(fleet, tasks, cpu=CORE):
    """Add the jobs of long-running tasks."""
    for task in tasks:
        add(fleet, make_job(make_step(cpu=cpu, is_lasting=True), name=task.job))


def watch(fleet, tasks, ended_at, seconds=WATCH_SECONDS, steps=()):
    """Let time pass, and return how long each task was without a run.

    `steps` holds what is done at the beginning of some steps, by number.
    """
    result = Result()
    by_step = dict(steps)
    began_at, number = fleet.now, 0
    end = began_at + seconds
    ended_at = dict.fromkeys(tasks, began_at) | ended_at
    while fleet.now < end:
        by_step.get(number, lambda: None)()
        number += 1
        fleet.step()
        for task in tasks:
            job_run = fleet.scheduler.state.jobs.get(task.job)
            if job_run is None or job_run.state.is_final():
                ended_at.pop(task, None)
                continue
            is_running = bool(fleet.runs_of(task))
            ran_at = fleet.now if is_running else fleet.ran_at.get(task, began_at)
            since = ended_at.get(task, began_at)
            if ran_at > since:
                began_again_at = fleet.ran_at.get(task, began_at)
                wait = began_again_at - since
                result.waits[task] = max(result.waits.get(task, 0.0), wait)
                ended_at[task] = ran_at
    for task, since in ended_at.items():
        if not fleet.runs_of(task):
            result.waits[task] = max(result.waits.get(task, 0.0), fleet.now - since)
    result.starts = len(fleet.crashed_starts)
    return result


def lose_two(fleet, tasks, is_silent, returns):
    """Lose the two upstreams that run most of the tasks."""
    names = sorted(
        fleet.upstreams,
        key=lambda name: -len(fleet.upstreams[name].running.keys() & set(tasks)),
    )
    lost = fleet.lose(names[:2], is_silent, returns)
    return dict.fromkeys(lost & set(tasks), fleet.now)


def play_loss(is_full, is_silent, has_new_owner, returns=False, cpu=CORE):
    """Lose two upstreams that have just started all long-running tasks."""
    fleet = FullFleet(is_full=is_full)
    tasks = lasting_tasks(TASKS * CORE // cpu)
    if has_new_owner:
        add_lasting(fleet, tasks, cpu)
    while fleet.now < 100.0 + FILL_SECONDS:
        fleet.step()
    if not has_new_owner:
        add_lasting(fleet, tasks, cpu)
        for _ in range(24):
            fleet.step()
            if all(map(fleet.runs_of, tasks)):
                break
        # All start at the same time, so that none has settled.
        for name in list(fleet.upstreams):
            known = fleet.scheduler.state.upstreams[name]
            for task in tasks:
                if task in known.runs:
                    known.runs[task].confirmed_at = fleet.now
    ended_at = lose_two(fleet, tasks, is_silent, returns)
    if has_new_owner:
        fleet.replace_owner()
        for name in set(fleet.scheduler.state.upstreams) - set(fleet.upstreams):
            fleet.scheduler.renewal_failed(name, fleet.now)
    return fleet, watch(fleet, tasks, ended_at)


def play_deadly(seed):
    """Start long-running tasks, one of which is deadly, and lose an upstream or two."""
    draw = random.Random(seed)
    tasks = lasting_tasks()
    deadly = draw.choice(tasks)
    fleet = FullFleet(draw.choice([4, 6, 8]), [deadly], draw.random() < 0.5)
    for _ in range(draw.choice([0, 12, 24])):
        fleet.step()
    fleet.deadly = set()
    add_lasting(fleet, tasks)
    steps = {}
    if draw.random() < 0.5:
        steps[draw.randrange(0, 12)] = fleet.replace_owner
    if draw.random() < 0.5:
        names = draw.sample(sorted(fleet.upstreams), 2)

        def lose():
            fleet.lose([n for n in names if n in fleet.upstreams], True, True)

        steps[draw.randrange(0, 8)] = lose
    fleet.deadly = {deadly}
    crashes = []
    crash = fleet.crash
    fleet.crash = lambda name: (crashes.append(name), crash(name))[1]
    result = watch(fleet, tasks, {}, 2 * WATCH_SECONDS, steps.items())
    result.crashes = len(crashes)
    job_run = fleet.scheduler.state.jobs.get(deadly.job)
    result.is_given_up = job_run is None or job_run.state.is_final()
    result.waits.pop(deadly, None)
    return result


def play_owners(seed, count):
    """Start long-running tasks, some of them deadly, and replace the owner."""
    draw = random.Random(seed)
    cpu = draw.choice([1, 2]) * CORE
    tasks = lasting_tasks(TASKS * CORE // cpu)
    deadly = set(draw.sample(tasks, count))
    fleet = FullFleet(draw.choice([6, 8, 10]), deadly, draw.random() < 0.6)
    for _ in range(draw.choice([0, 12, 24])):
        fleet.step()
    add_lasting(fleet, tasks, cpu)
    numbers = [draw.randrange(0, 20) for _ in range(draw.choice([0, 1, 2]))]
    steps = dict.fromkeys(numbers, fleet.replace_owner)
    result = watch(fleet, tasks, {}, 2 * WATCH_SECONDS, steps.items())
    orders = [order.task for order in fleet.crashed_starts]
    result.starts = max(map(orders.count, deadly))
    result.is_given_up = all(fleet.state_of(task.job).is_final() for task in deadly)
    for task in deadly:
        result.waits.pop(task, None)
    return result


class TestManySuspects:
    """Test long-running tasks that were lost with two upstreams at once."""

    @pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
    @pytest.mark.parametrize("is_full", [False, True], ids=["idle", "full"])
    @pytest.mark.parametrize("has_new_owner", [False, True], ids=["same", "new"])
    @pytest.mark.parametrize("cores", [1, 2, 4])
    def test_all_run_again_in_time(self, is_silent, is_full, has_new_owner, cores):
        _, result = play_loss(is_full, is_silent, has_new_owner, cpu=cores * CORE)
        assert len(result.waits) == TASKS // cores
        assert max(result.waits.values()) < MAX_WAIT_SECONDS

    @pytest.mark.parametrize("cores", [1, 2, 4])
    def test_others_that_wait_in_the_full_pool_run_in_time(self, cores):
        fleet = FullFleet(is_full=True)
        tasks = lasting_tasks()
        add_lasting(fleet, tasks)
        while fleet.now < 100.0 + FILL_SECONDS:
            fleet.step()
        ended_at = lose_two(fleet, tasks, False, False)
        fleet.replace_owner()
        for name in set(fleet.scheduler.state.upstreams) - set(fleet.upstreams):
            fleet.scheduler.renewal_failed(name, fleet.now)
        fleet.step()
        others = [task._replace(job=f"b{task.job[1:]}") for task in tasks[: 8 // cores]]
        add_lasting(fleet, others, cores * CORE)
        result = watch(fleet, tasks + others, ended_at)
        assert max(result.waits.values()) < MAX_WAIT_SECONDS


class TestDeadlyTask:
    """Test long-running tasks one of which crashes the upstreams that start it."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_others_run_in_time_and_it_is_given_up(self, seed):
        """Guards against losses in trials that are added to the wait for them.

        An innocent task may share two losses with the cause. After each, it waits at
        most as long as it may be held.
        """
        result = play_deadly(seed)
        assert result.is_given_up
        assert result.starts <= MAX_STARTS
        assert max(result.waits.values()) < MAX_WAIT_SECONDS

    @pytest.mark.parametrize("down_seconds", [3.3, 7.0])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_room_for_them_outlives_owners(self, monkeypatch, seed, down_seconds):
        """Guards against short tasks that use it before a new owner keeps it."""
        monkeypatch.setattr(crash_model, "DOWN_SECONDS", down_seconds)
        result = play_owners(seed, 1)
        assert result.is_given_up
        assert result.starts <= MAX_STARTS
        assert max(result.waits.values()) < MAX_WAIT_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_several_are_given_up(self, seed):
        result = play_owners(seed, 4)
        assert result.is_given_up
        assert result.starts <= MAX_STARTS
