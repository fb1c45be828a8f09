"""Simulate how closely teams receive their shares, compared with two baselines."""

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

UPSTREAM_COUNT = 6
SLOTS_PER_UPSTREAM = 8
ENTRY_INSTANCE_COUNT = 6
SHARE_BY_TEAM = {"t1": 6.0, "t2": 4.0, "t3": 2.0, "t4": 1.0, "t5": 1.0, "t6": 1.0}
TASK_SECONDS = 0.4
STEP_SECONDS = 0.01
HEARTBEAT_SECONDS = 0.4
SHARE_UPDATE_SECONDS = 0.1
SIMULATED_SECONDS = 40.0
WARM_UP_SECONDS = 4.0
BURST_SECONDS = 3.0
BURST_FACTOR = 5.0
BETWEEN_BURSTS_FACTOR = 0.05
STEADY_TARGET_RATIO = 0.9
BURST_TARGET_RATIO = 0.8
URGENT_TARGET_SECONDS = 1.4
POOL_SLOTS = UPSTREAM_COUNT * SLOTS_PER_UPSTREAM

ArrivalRate = Callable[[str, float], float]


@dataclass(slots=True)
class WindowTotals:
    """Sum the slot-seconds that each team received and demanded in one second."""

    received: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    demand: dict[str, float] = field(default_factory=lambda: defaultdict(float))


@dataclass(slots=True)
class FairnessResult:
    """Store ratios of received to entitled service while the pool is full, and waits.

    `shortfall` is the service that teams lacked, in slot-seconds.
    """

    ratios: list[float]
    worst_ratio_by_window: list[float]
    shortfall: float
    wait_seconds: list[float]

    def worst_ratio(self) -> float:
        """Return the lowest ratio of any team in any window."""
        return min(self.worst_ratio_by_window, default=1.0)

    def p5_ratio(self) -> float:
        """Return the 5th percentile over all windows of the worst team's ratio."""
        ordered = sorted(self.worst_ratio_by_window)
        return ordered[len(ordered) // 20] if ordered else 1.0

    def wait_quantile(self, fraction: float) -> float:
        """Return a quantile of the seconds that requests waited before they started."""
        ordered = sorted(self.wait_seconds)
        return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


def steady_rate(team: str, now: float) -> float:
    """Return a team's constant arrival rate per second: twice its share of the pool."""
    # All teams together demand twice what the pool can serve.
    return (
        2
        * SHARE_BY_TEAM[team]
        / sum(SHARE_BY_TEAM.values())
        * POOL_SLOTS
        / TASK_SECONDS
    )


def burst_rate(team: str, now: float) -> float:
    """Return a team's arrival rate per second; teams burst in turn, two at a time."""
    team_names = list(SHARE_BY_TEAM)
    period = BURST_SECONDS * len(team_names) / 2
    phase = (now + team_names.index(team) * BURST_SECONDS) % period
    base_rate = 0.5 * POOL_SLOTS / TASK_SECONDS / len(team_names) * 1.6
    return base_rate * (
        BURST_FACTOR if phase < BURST_SECONDS else BETWEEN_BURSTS_FACTOR
    )


class FairnessSimulation:
    """Simulate entry instances that share one pool of slots, in virtual time."""

    def __init__(self, mode: str, arrival_rate: ArrivalRate, seed: int) -> None:
        """Create a simulation.

        In mode `exchange`, entry instances exchange their demand. The baselines are
        `local`, where each uses a fixed, equal part of the pool, and `fifo`, where all
        teams are served as one, in order of arrival.
        """
        self.mode = mode
        self.arrival_rate = arrival_rate
        self.random = Random(seed)
        self.queue = Queue(
            "q", "s", QueueClass.URGENT, False, True, False, 10.0, TASK_SECONDS
        )
        self.dispatchers = [
            self._make_dispatcher(number) for number in range(ENTRY_INSTANCE_COUNT)
        ]
        self.demand_tables = [
            DemandTable(f"e{number}") for number in range(ENTRY_INSTANCE_COUNT)
        ]
        self.running_by_upstream: dict[str, int] = defaultdict(int)
        self.task_ends: list[tuple[float, int, int, Attempt]] = []
        self.arrived_at_by_request: dict[str, float] = {}
        self.team_by_request: dict[str, str] = {}
        self.running_by_team: dict[str, int] = defaultdict(int)
        self.wait_seconds: list[float] = []
        self.sequence = iter(range(10**9))

    def run(self) -> FairnessResult:
        """Run the simulation and return what each team received."""
        windows: dict[int, WindowTotals] = defaultdict(WindowTotals)
        for step in range(int(SIMULATED_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._finish_ended_tasks(now)
            self._expire_waiting(now)
            self._submit_arrivals(now)
            if step % round(HEARTBEAT_SECONDS / STEP_SECONDS) == 0:
                self._exchange_demand(now)
            if step % round(SHARE_UPDATE_SECONDS / STEP_SECONDS) == 0:
                self._update_shares(now)
            self._start_waiting(now)
            self._add_to_window(windows[int(now)])
        return self._summarize(windows)

    def _make_dispatcher(self, number: int) -> Dispatcher:
        instances = {
            f"w{n}": Instance(
                f"w{n}", "h", 1, "abc"[n % 3], "r", "p", SLOTS_PER_UPSTREAM, 64, 1, 1
            )
            for n in range(UPSTREAM_COUNT)
        }
        weights = (
            SHARE_BY_TEAM if self.mode != "fifo" else dict.fromkeys(SHARE_BY_TEAM, 1.0)
        )
        view = ConfigView(
            0,
            instances_by_id=instances,
            teams_by_name={n: Team(n, w, 10_000) for n, w in weights.items()},
            pools_by_name={"p": Pool("p", tuple(SHARE_BY_TEAM))},
            services_by_name={"s": Service("s", "p", 0.99, 60, 1)},
            queues_by_name={"q": self.queue},
            settings=Settings(ENTRY_INSTANCE_COUNT, 0.1, 60.0),
            serving_by_pool={"p": tuple(instances.values())},
        )
        escrow = Escrow(f"e{number}")
        escrow.set_limits(dict.fromkeys([*SHARE_BY_TEAM, "all"], 10_000), 0)
        escrow.set_slots(range(SLOT_COUNT))
        dispatcher = Dispatcher(
            "abc"[number % 3], escrow, Random(number), DispatchPolicy()
        )
        dispatcher.apply_config(view)
        return dispatcher

    def _submit_arrivals(self, now: float) -> None:
        for team in SHARE_BY_TEAM:
            expected = self.arrival_rate(team, now) * STEP_SECONDS
            for _ in range(self._poisson(expected)):
                # Entry instances with a low index receive most of the requests.
                index = int(ENTRY_INSTANCE_COUNT * self.random.random() ** 2)
                self._submit(index, team, now)

    def _poisson(self, expected: float) -> int:
        threshold = math.exp(-expected)
        count = 0
        product = self.random.random()
        while product > threshold:
            count += 1
            product *= self.random.random()
        return count

    def _submit(self, index: int, team: str, now: float) -> None:
        name = f"r{next(self.sequence)}"
        charged_team = "all" if self.mode == "fifo" else team
        request = WorkRequest(name, charged_team, self.queue, "p", now, now + 10.0)
        self.arrived_at_by_request[name] = now
        self.team_by_request[name] = team
        step = self.dispatchers[index].submit(request, now)
        if isinstance(step, Start):
            self._send(index, step, now)

    def _send(self, index: int, start: Start, now: float) -> None:
        attempt = start.attempt
        if self.running_by_upstream[attempt.upstream] >= SLOTS_PER_UPSTREAM:
            step = self.dispatchers[index].handle_result(
                attempt, AttemptResult.FULL, now
            )
            if isinstance(step, Start):
                self._send(index, step, now)
            return
        self.running_by_upstream[attempt.upstream] += 1
        team = self.team_by_request[attempt.request]
        self.running_by_team[team] += 1
        self.wait_seconds.append(now - self.arrived_at_by_request[attempt.request])
        seconds = self.random.uniform(0.5, 1.5) * TASK_SECONDS
        task_end = (now + seconds, next(self.sequence), index, attempt)
        heapq.heappush(self.task_ends, task_end)

    def _finish_ended_tasks(self, now: float) -> None:
        while self.task_ends and self.task_ends[0][0] <= now:
            _, _, index, attempt = heapq.heappop(self.task_ends)
            self.running_by_upstream[attempt.upstream] -= 1
            self.running_by_team[self.team_by_request[attempt.request]] -= 1
            step = self.dispatchers[index].handle_result(
                attempt, AttemptResult.DONE, now
            )
            assert isinstance(step, Finish)

    def _expire_waiting(self, now: float) -> None:
        for dispatcher in self.dispatchers:
            expired = [
                name
                for name, request in dispatcher.requests_by_id.items()
                if request.waiting is not None and now >= request.waiting.start_by
            ]
            for name in expired:
                dispatcher.abandon(name, ResultCode.DEADLINE_PASSED, Reason.DEADLINE)

    def _exchange_demand(self, now: float) -> None:
        if self.mode == "local":
            return
        for index, dispatcher in enumerate(self.dispatchers):
            lines = dispatcher.demand()
            for other, table in enumerate(self.demand_tables):
                if other == index:
                    continue
                table.report(f"e{index}", lines, now)

    def _update_shares(self, now: float) -> None:
        for dispatcher, table in zip(self.dispatchers, self.demand_tables, strict=True):
            own_demand = {
                line.team: line.waiting + line.running for line in dispatcher.demand()
            }
            others = table.by_team("p")
            weights = {
                team: dispatcher.share_of(team) for team in {*own_demand, *others}
            }
            capacity = (
                POOL_SLOTS / ENTRY_INSTANCE_COUNT
                if self.mode == "local"
                else POOL_SLOTS
            )
            dispatcher.pools["p"].shares = compute_pool_shares(
                capacity,
                own_demand,
                others,
                table.preceding_by_team("p"),
                weights,
                {},
                ENTRY_INSTANCE_COUNT,
            )

    def _start_waiting(self, now: float) -> None:
        order = list(range(ENTRY_INSTANCE_COUNT))
        self.random.shuffle(order)
        for index in order:
            for start in self.dispatchers[index].start_waiting(now):
                self._send(index, start, now)

    def _add_to_window(self, window: WindowTotals) -> None:
        waiting: dict[str, int] = defaultdict(int)
        for dispatcher in self.dispatchers:
            for name, request in dispatcher.requests_by_id.items():
                if not request.upstream:
                    waiting[self.team_by_request[name]] += 1
        for team in SHARE_BY_TEAM:
            window.received[team] += self.running_by_team[team] * STEP_SECONDS
            demand = self.running_by_team[team] + waiting[team]
            window.demand[team] += demand * STEP_SECONDS

    def _summarize(self, windows: dict[int, WindowTotals]) -> FairnessResult:
        result = FairnessResult([], [], 0.0, self.wait_seconds)
        for second, window in sorted(windows.items()):
            if second < WARM_UP_SECONDS or sum(window.demand.values()) < POOL_SLOTS:
                continue
            entitled = weighted_max_min(POOL_SLOTS, window.demand, SHARE_BY_TEAM)
            ratios = [
                window.received[team] / entitled[team]
                for team in SHARE_BY_TEAM
                if entitled[team] >= 1.0
            ]
            result.ratios += ratios
            result.worst_ratio_by_window.append(min(ratios))
            shortfalls = (
                max(0.0, entitled[team] - window.received[team])
                for team in SHARE_BY_TEAM
            )
            result.shortfall += sum(shortfalls)
        return result


def measure_fairness() -> None:
    """Print how closely each mode meets the shares, under steady load and bursts."""
    for name, arrival_rate, target in (
        ("steady", steady_rate, STEADY_TARGET_RATIO),
        ("bursts", burst_rate, BURST_TARGET_RATIO),
    ):
        for mode in ("exchange", "local", "fifo"):
            result = FairnessSimulation(mode, arrival_rate, 1).run()
            verdict = "met" if result.worst_ratio() >= target else "MISSED"
            print(
                f"shares, {name}, {mode}: received/entitled per second while full: ",
                end="",
            )
            print(
                f"worst {result.worst_ratio():.2f}, p5 {result.p5_ratio():.2f}, ",
                end="",
            )
            print(f"mean {mean(result.ratios):.2f}, ", end="")
            print(f"shortfall {result.shortfall:.0f} slot-seconds in ", end="")
            print(f"{len(result.worst_ratio_by_window)} windows, ", end="")
            print(f"start p99 {result.wait_quantile(0.99):.2f} s", end="")
            print(f" (target worst {target}: {verdict})" if mode == "exchange" else "")
