"""Measure how near teams come to their shares, in virtual time, against baselines."""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import mean

from baobablane.config import (
    ConfigView,
    Instance,
    Pool,
    Queue,
    QueueClass,
    Service,
    Settings,
    Team,
)
from baobablane.dispatch import (
    Attempt,
    AttemptResult,
    Dispatcher,
    DispatchPolicy,
    Finish,
    Reason,
    Start,
    WorkRequest,
)
from baobablane.errors import ResultCode
from baobablane.limits import Escrow
from baobablane.membership import SLOT_COUNT
from baobablane.shares import DemandTable, compute_pool_shares, weighted_max_min

WORKERS = 6
SLOTS = 8
ENTRIES = 6
SHARES = {"t1": 6.0, "t2": 4.0, "t3": 2.0, "t4": 1.0, "t5": 1.0, "t6": 1.0}
RUN_SECONDS = 0.4
STEP_SECONDS = 0.01
BEAT_SECONDS = 0.4
SHARE_SECONDS = 0.1
LENGTH_SECONDS = 40.0
WARM_SECONDS = 4.0
BURST_SECONDS = 3.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
STEADY_TARGET = 0.9
BURST_TARGET = 0.8
URGENT_TARGET_SECONDS = 1.4
CAPACITY = WORKERS * SLOTS

Load = Callable[[str, float], float]


@dataclass(slots=True)
class Window:
    """Add up what one second brought."""

    received: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    demand: dict[str, float] = field(default_factory=lambda: defaultdict(float))


@dataclass(slots=True)
class FairnessResult:
    """Hold received over entitled service per window while full, and start times."""

    ratios: list[float]
    worst_by_window: list[float]
    shortfall: float
    waits: list[float]

    def worst(self) -> float:
        """Return the worst team's ratio over all windows."""
        return min(self.worst_by_window, default=1.0)

    def low(self) -> float:
        """Return the worst team's ratio that 95% of windows exceed."""
        ordered = sorted(self.worst_by_window)
        return ordered[len(ordered) // 20] if ordered else 1.0

    def wait_quantile(self, part: float) -> float:
        """Return the start time, in seconds, that a part of requests stay below."""
        ordered = sorted(self.waits)
        return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0


def steady(team: str, now: float) -> float:
    """Return requests per second that fill the pool twice over."""
    # Every team asks for twice its share of the pool.
    return 2 * SHARES[team] / sum(SHARES.values()) * CAPACITY / RUN_SECONDS


def bursts(team: str, now: float) -> float:
    """Return requests per second that come in bursts, by turns."""
    names = list(SHARES)
    period = BURST_SECONDS * len(names) / 2
    phase = (now + names.index(team) * BURST_SECONDS) % period
    average = 0.5 * CAPACITY / RUN_SECONDS / len(names) * 1.6
    return average * (BURST_FACTOR if phase < BURST_SECONDS else QUIET_FACTOR)


class FairnessRun:
    """Hold entry instances that share one pool of slots in virtual time."""

    def __init__(self, mode: str, load: Load, seed: int) -> None:
        """Choose `exchange`, `local` or `fifo`."""
        self.mode = mode
        self.load = load
        self.random = Random(seed)
        self.queue = Queue(
            "q", "s", QueueClass.URGENT, False, True, False, 10.0, RUN_SECONDS
        )
        self.entries = [self._make_entry(number) for number in range(ENTRIES)]
        self.tables = [DemandTable(f"e{number}") for number in range(ENTRIES)]
        self.busy: dict[str, int] = defaultdict(int)
        self.ends: list[tuple[float, int, int, Attempt]] = []
        self.arrived: dict[str, float] = {}
        self.teams: dict[str, str] = {}
        self.running: dict[str, int] = defaultdict(int)
        self.waits: list[float] = []
        self.numbers = iter(range(10**9))

    def run(self) -> FairnessResult:
        """Return what each team received."""
        windows: dict[int, Window] = defaultdict(Window)
        for step in range(int(LENGTH_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._end_tasks(now)
            self._expire(now)
            self._arrive(now)
            if step % round(BEAT_SECONDS / STEP_SECONDS) == 0:
                self._exchange(now)
            if step % round(SHARE_SECONDS / STEP_SECONDS) == 0:
                self._share(now)
            self._pump(now)
            self._account(windows[int(now)])
        return self._result(windows)

    def _make_entry(self, number: int) -> Dispatcher:
        instances = {
            f"w{n}": Instance(f"w{n}", "h", 1, "abc"[n % 3], "r", "p", SLOTS, 64, 1, 1)
            for n in range(WORKERS)
        }
        weights = SHARES if self.mode != "fifo" else dict.fromkeys(SHARES, 1.0)
        view = ConfigView(
            0,
            instances_by_id=instances,
            teams_by_name={n: Team(n, w, 10_000) for n, w in weights.items()},
            pools_by_name={"p": Pool("p", tuple(SHARES))},
            services_by_name={"s": Service("s", "p", 0.99, 60, 1)},
            queues_by_name={"q": self.queue},
            settings=Settings(ENTRIES, 0.1, 60.0),
            serving_by_pool={"p": tuple(instances.values())},
        )
        escrow = Escrow(f"e{number}")
        escrow.set_limits(dict.fromkeys([*SHARES, "all"], 10_000), 0)
        escrow.set_slots(range(SLOT_COUNT))
        dispatcher = Dispatcher(
            "abc"[number % 3], escrow, Random(number), DispatchPolicy()
        )
        dispatcher.apply_config(view)
        return dispatcher

    def _arrive(self, now: float) -> None:
        for team in SHARES:
            expected = self.load(team, now) * STEP_SECONDS
            for _ in range(self._poisson(expected)):
                # Large teams come through few entry instances.
                index = int(ENTRIES * self.random.random() ** 2)
                self._submit(index, team, now)

    def _poisson(self, expected: float) -> int:
        left = math.exp(-expected)
        count = 0
        product = self.random.random()
        while product > left:
            count += 1
            product *= self.random.random()
        return count

    def _submit(self, index: int, team: str, now: float) -> None:
        name = f"r{next(self.numbers)}"
        counted = "all" if self.mode == "fifo" else team
        request = WorkRequest(name, counted, self.queue, "p", now, now + 10.0)
        self.arrived[name] = now
        self.teams[name] = team
        step = self.entries[index].submit(request, now)
        if isinstance(step, Start):
            self._send(index, step, now)

    def _send(self, index: int, start: Start, now: float) -> None:
        attempt = start.attempt
        if self.busy[attempt.upstream] >= SLOTS:
            step = self.entries[index].handle_result(attempt, AttemptResult.FULL, now)
            if isinstance(step, Start):
                self._send(index, step, now)
            return
        self.busy[attempt.upstream] += 1
        team = self.teams[attempt.request]
        self.running[team] += 1
        self.waits.append(now - self.arrived[attempt.request])
        seconds = self.random.uniform(0.5, 1.5) * RUN_SECONDS
        entry = (now + seconds, next(self.numbers), index, attempt)
        heapq.heappush(self.ends, entry)

    def _end_tasks(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, _, index, attempt = heapq.heappop(self.ends)
            self.busy[attempt.upstream] -= 1
            self.running[self.teams[attempt.request]] -= 1
            step = self.entries[index].handle_result(attempt, AttemptResult.DONE, now)
            assert isinstance(step, Finish)

    def _expire(self, now: float) -> None:
        for entry in self.entries:
            late = [
                name
                for name, request in entry.requests_by_id.items()
                if request.waiting is not None and now >= request.waiting.start_by
            ]
            for name in late:
                entry.abandon(name, ResultCode.DEADLINE_PASSED, Reason.DEADLINE)

    def _exchange(self, now: float) -> None:
        if self.mode == "local":
            return
        for index, entry in enumerate(self.entries):
            lines = entry.demand()
            for other, table in enumerate(self.tables):
                if other == index:
                    continue
                table.report(f"e{index}", lines, now)

    def _share(self, now: float) -> None:
        for entry, table in zip(self.entries, self.tables, strict=True):
            own = {line.team: line.waiting + line.running for line in entry.demand()}
            others = table.by_team("p")
            weights = {team: entry.share_of(team) for team in {*own, *others}}
            capacity = CAPACITY / ENTRIES if self.mode == "local" else CAPACITY
            entry.pools["p"].shares = compute_pool_shares(
                capacity,
                own,
                others,
                table.preceding_by_team("p"),
                weights,
                {},
                ENTRIES,
            )

    def _pump(self, now: float) -> None:
        order = list(range(ENTRIES))
        self.random.shuffle(order)
        for index in order:
            for start in self.entries[index].start_waiting(now):
                self._send(index, start, now)

    def _account(self, window: Window) -> None:
        waiting: dict[str, int] = defaultdict(int)
        for entry in self.entries:
            for name, request in entry.requests_by_id.items():
                if not request.upstream:
                    waiting[self.teams[name]] += 1
        for team in SHARES:
            window.received[team] += self.running[team] * STEP_SECONDS
            demand = self.running[team] + waiting[team]
            window.demand[team] += demand * STEP_SECONDS

    def _result(self, windows: dict[int, Window]) -> FairnessResult:
        result = FairnessResult([], [], 0.0, self.waits)
        for second, window in sorted(windows.items()):
            if second < WARM_SECONDS or sum(window.demand.values()) < CAPACITY:
                continue
            entitled = weighted_max_min(CAPACITY, window.demand, SHARES)
            ratios = [
                window.received[team] / entitled[team]
                for team in SHARES
                if entitled[team] >= 1.0
            ]
            result.ratios += ratios
            result.worst_by_window.append(min(ratios))
            missing = (
                max(0.0, entitled[team] - window.received[team]) for team in SHARES
            )
            result.shortfall += sum(missing)
        return result


def measure_fairness() -> None:
    """Print the nearness to shares of each way, under steady load and bursts."""
    for name, load, target in (
        ("steady", steady, STEADY_TARGET),
        ("bursts", bursts, BURST_TARGET),
    ):
        for mode in ("exchange", "local", "fifo"):
            result = FairnessRun(mode, load, 1).run()
            verdict = "met" if result.worst() >= target else "MISSED"
            print(
                f"shares, {name}, {mode}: received/entitled per second while full: ",
                end="",
            )
            print(f"worst {result.worst():.2f}, p5 {result.low():.2f}, ", end="")
            print(f"mean {mean(result.ratios):.2f}, ", end="")
            print(f"shortfall {result.shortfall:.0f} slot-seconds in ", end="")
            print(f"{len(result.worst_by_window)} windows, ", end="")
            print(f"start p99 {result.wait_quantile(0.99):.2f} s", end="")
            print(f" (target worst {target}: {verdict})" if mode == "exchange" else "")
