"""Run tasks as the platform's upstreams do."""

import asyncio
import time
from dataclasses import dataclass, field

LOOK_SECONDS = 0.005


@dataclass(slots=True)
class _Run:
    number: int
    started_at: float
    ends_at: float
    fails: bool

    def percent(self, now: float) -> int:
        """Return how much of the run is done."""
        whole = max(self.ends_at - self.started_at, 1e-3)
        return min(100, round(100 * (now - self.started_at) / whole))


@dataclass(slots=True)
class StandinUpstream:
    """Hold one upstream's runs; a task's `spec` says how long it takes, in ms."""

    id: str
    pool: str
    address: str
    cores: int = 8
    born: int = field(default_factory=lambda: round(time.time() * 1000))
    # Every start, as task and run.
    starts: list[tuple[str, int]] = field(default_factory=list)
    # Unhealthy: refuses every order.
    is_refusing: bool = False
    _running: dict[str, _Run] = field(default_factory=dict)
    _ended: list[list[object]] = field(default_factory=list)
    _barred: dict[str, int] = field(default_factory=dict)
    _token: int = 0
    _ends: int = 0
    _deadline_ms: int = 0
    _started_at: float = field(default_factory=time.monotonic)

    def entry(self, sequence: int) -> dict[str, object]:
        """Return what the upstream registers of itself."""
        return {
            "service": self.pool,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cores * 1000, "memMb": 65536, "gpu": 0},
            "labels": ["a", f"rack-{self.id}"],
            "born": self.born,
            "sequence": sequence,
        }

    def start(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Carry out a start and return the status and the answer."""
        task, number = str(order["task"]), int(str(order["run"]))
        if self.is_refusing:
            return 503, {}
        if int(str(order["fencingToken"])) < self._token:
            return 409, self._clocked({"reason": "fence"})
        self._token = int(str(order["fencingToken"]))
        self._extend(order)
        if self._deadline_ms <= self._clock_ms():
            return 409, self._clocked({"reason": "late"})
        running = self._running.get(task)
        if running is not None and running.number == number:
            return 200, self._clocked({})
        if number <= self._barred.get(task, 0):
            return 409, self._clocked({"reason": "old"})
        milliseconds, _, outcome = str(order["spec"]).partition(" ")
        now = time.monotonic()
        ends_at = now + float(milliseconds or 0) / 1000
        self._running[task] = _Run(number, now, ends_at, outcome == "fail")
        self.starts.append((task, number))
        return 200, self._clocked({})

    def stop(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Carry out a stop."""
        task, number = str(order["task"]), int(str(order["run"]))
        self._barred[task] = max(number, self._barred.get(task, 0))
        running = self._running.get(task)
        if running is not None and running.number == number:
            self._end(task, "stopped")
        return 200, self._clocked({})

    async def hold(self, order: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Renew leases; wait for an end as long as the order says."""
        if int(str(order["fencingToken"])) < self._token:
            return 409, self._clocked({"reason": "fence"})
        self._token = int(str(order["fencingToken"]))
        self._extend(order)
        acknowledged = int(str(order["ackCursor"]))
        self._ended = [row for row in self._ended if int(str(row[0])) > acknowledged]
        wait_until = time.monotonic() + int(str(order.get("waitMs", 0))) / 1000
        self._settle()
        while not self._ended and time.monotonic() < wait_until:
            await asyncio.sleep(LOOK_SECONDS)
            self._settle()
        now = time.monotonic()
        running = [
            [task, run.number, "", run.percent(now), 0]
            for task, run in self._running.items()
        ]
        return 200, self._clocked({"running": running, "ended": list(self._ended)})

    def restart(self) -> None:
        """Lose everything and come back under the same id."""
        self.born += 1
        self._running, self._ended, self._barred = {}, [], {}
        self._token, self._ends, self._deadline_ms = 0, 0, 0
        self._started_at = time.monotonic()

    def _extend(self, order: dict[str, object]) -> None:
        deadline = order.get("deadlineMs")
        if deadline is not None:
            self._deadline_ms = max(self._deadline_ms, int(str(deadline)))

    def _settle(self) -> None:
        now = time.monotonic()
        lapsed = self._clock_ms() > self._deadline_ms
        for task, run in list(self._running.items()):
            if now >= run.ends_at:
                self._end(task, "failed" if run.fails else "done")
            elif lapsed:
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self._running.pop(task)
        self._barred[task] = max(run.number, self._barred.get(task, 0))
        self._ends += 1
        self._ended.append([self._ends, task, run.number, how, ""])

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self._started_at) * 1000)

    def _clocked(self, answer: dict[str, object]) -> dict[str, object]:
        return {"clockMs": self._clock_ms(), "born": self.born, **answer}
