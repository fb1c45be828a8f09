"""Serve executors as PROTOCOL.md describes them, and record what they run.

A task's `spec` is JSON: `ms` holds the shortest and the longest duration of a task of
its step, which are spread evenly over the tasks, and `count` their number.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from aiohttp import web

TICK_SECONDS = 0.005
BEAT_SECONDS = 1.5
MAX_ENDS_PER_REPORT = 500
STOP_SECONDS = 0.05
CHECKPOINT_SECONDS = 0.5
GANG_TIMEOUT_SECONDS = 3.0
FAIL_SECONDS = 0.1
# Longer than any caller waits.
SILENT_SECONDS = 60.0
MAX_HOLD_MS = 10_000


@dataclass(slots=True)
class Run:
    """Hold one run of a task."""

    task: str
    number: int
    started_at: float
    seconds: float
    needs: tuple[int, int]
    gang: tuple[str, int] | None
    # What the checkpoint that the start carried had saved, in seconds of work.
    saved_before: float = 0.0
    checkpoint: str = ""
    # When the gang was complete; for others, the start.
    works_since: float | None = None
    stops_at: float | None = None
    # When it ends `failed` on an executor that is grey.
    fails_at: float | None = None

    def worked(self, now: float) -> float:
        """Return the seconds of work, with those that the checkpoint had saved."""
        if self.works_since is None:
            return self.saved_before
        return self.saved_before + now - self.works_since


@dataclass(slots=True)
class Step:
    """Describe the tasks of a step as its client sent them."""

    count: int
    cpu: int
    mem_mb: int
    is_gang: bool
    has_checkpoints: bool


@dataclass(slots=True)
class World:
    """Hold what all executors share: the steps, the gangs and the record."""

    steps: dict[str, Step]
    write: Callable[..., None]
    executors: list["Executor"] = field(default_factory=list)

    def step_of(self, task: str) -> Step:
        """Return the step of a task."""
        job, _, step, _ = task.split(".")
        return self.steps[f"{job}.{step}"]

    def gang_runs(self, gang: tuple[str, int]) -> list[tuple["Executor", Run]]:
        """Return the present members of one run of a gang."""
        return [
            (executor, run)
            for executor in self.executors
            for run in executor.running.values()
            if run.gang == gang
        ]

    def break_gang(self, gang: tuple[str, int]) -> None:
        """End the other members of a gang of which one has ended."""
        for executor, run in self.gang_runs(gang):
            executor.end(run, "broken")


class Executor:
    """Run tasks on orders, under a lease."""

    def __init__(self, world: World, machine: str, service: str, zone: str) -> None:
        """Start without runs; `serve` must be called next."""
        self.world, self.machine, self.service, self.zone = (
            world,
            machine,
            service,
            zone,
        )
        self.capacity = (32_000, 65_536)
        self.kind = "a"
        # Whether it fails all that it starts.
        self.is_grey = False
        self.address = ""
        self.lives = 0
        # The life at the first call over each channel.
        self._first_lives: WeakKeyDictionary[asyncio.Transport, int] = (
            WeakKeyDictionary()
        )
        # May answer a start in place of the executor; None leaves it to the executor.
        self.intercept: Callable[
            [web.Request, dict, Executor], web.StreamResponse | None
        ] = lambda request, order, executor: None
        # When the latest call to `hold` arrived.
        self.held_at = float("-inf")
        self._runner: web.AppRunner | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.lives += 1
        self.id = f"{self.machine}-life{self.lives}"
        self.born = round(time.time() * 1000)
        self.is_up = True
        self.running: dict[str, Run] = {}
        self.ended: list[list[object]] = []
        self.closed: dict[str, int] = {}
        self.token = self.end_count = self.deadline_ms = 0
        self.boot = time.monotonic()
        # A life enters itself in the store at its beats, and the first ones at once.
        self.next_beat_at = self.boot if self.lives == 1 else self.boot + BEAT_SECONDS

    async def serve(self) -> None:
        """Listen on `address`, which must be set."""
        app = web.Application()
        app.router.add_post("/baobablane/run-start", self._start)
        app.router.add_post("/baobablane/run-stop", self._stop)
        app.router.add_post("/baobablane/hold", self._hold)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self._runner.setup()
        host, _, port = self.address.partition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self) -> None:
        """Lose everything and stop listening."""
        self.world.write("crash", executor=self.id)
        self.is_up = False
        gangs = {run.gang for run in self.running.values() if run.gang is not None}
        self.running, self.ended = {}, []
        for gang in gangs:
            self.world.break_gang(gang)
        await self.close()

    def fall_silent(self) -> None:
        """Lose everything without a sign; open calls get no response."""
        self.world.write("crash", executor=self.id, how="silent")
        self.is_up = False
        self.running, self.ended = {}, []

    def return_under_same_id(self) -> None:
        """Begin a new life under the same id; it enters itself at its next beat."""
        name = self.id
        self._begin_life()
        self.id = name
        self.world.write("executor-starts", executor=self.id, born=self.born)

    async def restart(self) -> None:
        """Begin a new life on the same machine."""
        self._begin_life()
        await self.serve()
        self.world.write("executor-starts", executor=self.id)

    def entry(self, sequence: int) -> dict[str, object]:
        """Return the entry in which the executor registers itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": sequence,
            "capacity": self._capacity(),
            "labels": [self.kind, f"rack-{self.machine}"],
            "born": self.born,
        }

    def listing(self) -> dict[str, object]:
        """Return the row of the machine in the platform's list."""
        return {
            "machine": self.machine,
            "pool": self.service,
            "state": "up" if self.is_up else "down",
            "zone": self.zone,
            "labels": [self.kind, f"rack-{self.machine}"],
            "capacity": self._capacity(),
            "id": self.id if self.is_up else "",
        }

    def tick(self, now: float) -> None:
        """End the runs that are due."""
        if not self.is_up:
            return
        if self.running and self._clock_ms() > self.deadline_ms:
            self.world.write("lapse", executor=self.id, born=self.born)
            for run in list(self.running.values()):
                self.end(run, "lapsed")
            return
        for run in list(self.running.values()):
            if run.task not in self.running:
                continue
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
            elif run.fails_at is not None and now >= run.fails_at:
                self.end(run, "failed")
            elif run.gang is not None and run.works_since is None:
                self._tick_waiting_member(run, now)
            elif run.works_since is not None and run.worked(now) >= run.seconds:
                self._finish(run)

    def _tick_waiting_member(self, run: Run, now: float) -> None:
        members = self.world.gang_runs(run.gang or ("", 0))
        # All members have to resume from the same point, or the gang can't work.
        is_complete = (
            len(members) == self.world.step_of(run.task).count
            and len({member.checkpoint for _, member in members}) == 1
        )
        if is_complete:
            for _, member in members:
                member.works_since = now
        elif now - run.started_at >= GANG_TIMEOUT_SECONDS:
            self.end(run, "alone")

    def _finish(self, run: Run) -> None:
        if run.gang is None:
            self.end(run, "done")
            return
        for executor, member in self.world.gang_runs(run.gang):
            executor.end(member, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run; the other members of its gang end with it."""
        now = time.monotonic()
        self.running.pop(run.task, None)
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.end_count += 1
        saved = self._saved(run, now)
        self.ended.append([self.end_count, run.task, run.number, how, saved])
        self.world.write(
            "end",
            executor=self.id,
            born=self.born,
            task=run.task,
            run=run.number,
            how=how,
            number=self.end_count,
            saved=saved,
        )
        if run.gang is not None and how not in ("done", "alone", "broken"):
            self.world.break_gang(run.gang)

    def _saved(self, run: Run, now: float) -> str:
        if not self.world.step_of(run.task).has_checkpoints:
            return ""
        if run.works_since is None:
            return run.checkpoint
        saves = int(run.worked(now) / CHECKPOINT_SECONDS)
        return f"{saves:016x}" if saves else ""

    def _capacity(self) -> dict[str, int]:
        return {"cpu": self.capacity[0], "memMb": self.capacity[1], "gpu": 0}

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self.boot) * 1000)

    def _reply(self, status: int = 200, **body: object) -> web.Response:
        content = {"clockMs": self._clock_ms(), "born": self.born, **body}
        return web.json_response(content, status=status)

    def _extend_lease(self, order: dict) -> None:
        if "deadlineMs" in order:
            latest = min(int(order["deadlineMs"]), self._clock_ms() + MAX_HOLD_MS)
            self.deadline_ms = max(self.deadline_ms, latest)

    def _is_other_boot(self, request: web.Request) -> bool:
        return request.headers.get("Baobablane-Expected-Instance", self.id) != self.id

    async def _is_lost_with_earlier_life(self, request: web.Request) -> bool:
        """Return whether a call came over a channel to an earlier life; close that.

        While the executor is silent, this does not return.
        """
        while not self.is_up:
            await asyncio.sleep(SILENT_SECONDS)
        first_life = request.transport in self._first_lives
        life = self._first_lives.setdefault(request.transport, self.lives)
        if first_life and life != self.lives and request.transport is not None:
            request.transport.abort()
            return True
        return False

    async def _start(self, request: web.Request) -> web.StreamResponse:
        order = json.loads(await request.read())
        if await self._is_lost_with_earlier_life(request):
            return web.Response()
        if self._is_other_boot(request):
            return self._reply(421)
        self.world.write(
            "order",
            executor=self.id,
            task=order["task"],
            run=order["run"],
            checkpoint=order.get("checkpoint", ""),
            fence=order["fencingToken"],
        )
        replacement = self.intercept(request, order, self)
        if replacement is not None:
            return replacement
        return self.carry_out_start(order)

    def carry_out_start(self, order: dict) -> web.Response:
        """Start a run as ordered, or return the rejection."""
        task, number = str(order["task"]), int(order["run"])
        if int(order.get("fencingToken", 0)) < self.token:
            return self._reply(409, reason="fence")
        self.token = int(order["fencingToken"])
        running = self.running.get(task)
        if running is not None and running.number == number:
            return self._reply()
        if running is not None or number <= self.closed.get(task, 0):
            self._extend_lease(order)
            return self._reply(409, reason="old")
        if int(order["deadlineMs"]) <= self._clock_ms():
            return self._reply(409, reason="late")
        self._extend_lease(order)
        step = self.world.step_of(task)
        used_cpu = sum(run.needs[0] for run in self.running.values())
        used_mem = sum(run.needs[1] for run in self.running.values())
        if (
            used_cpu + step.cpu > self.capacity[0]
            or used_mem + step.mem_mb > self.capacity[1]
        ):
            return self._reply(409, reason="room")
        spec = json.loads(order["spec"])
        shortest, longest = spec["ms"]
        index = int(task.rsplit(".", 1)[1])
        share = index * 7919 % step.count / step.count
        now = time.monotonic()
        checkpoint = str(order.get("checkpoint", ""))
        run = Run(
            task,
            number,
            now,
            (shortest + share * (longest - shortest)) / 1000,
            (step.cpu, step.mem_mb),
            (task.rsplit(".", 1)[0], number) if step.is_gang else None,
            int(checkpoint or "0", 16) * CHECKPOINT_SECONDS,
            checkpoint,
            None if step.is_gang else now,
            fails_at=now + FAIL_SECONDS if self.is_grey else None,
        )
        self.running[task] = run
        self.world.write("start", executor=self.id, task=task, run=number)
        return self._reply()

    async def _stop(self, request: web.Request) -> web.StreamResponse:
        order = json.loads(await request.read())
        if await self._is_lost_with_earlier_life(request):
            return web.Response()
        if self._is_other_boot(request):
            return self._reply(421)
        if int(order.get("fencingToken", 0)) < self.token:
            return self._reply(409, reason="fence")
        self.token = int(order["fencingToken"])
        task, number = str(order["task"]), int(order["run"])
        run = self.running.get(task)
        if run is not None and run.number == number:
            run.stops_at = run.stops_at or time.monotonic() + STOP_SECONDS
        else:
            self.closed[task] = max(number, self.closed.get(task, 0))
        return self._reply()

    async def _hold(self, request: web.Request) -> web.StreamResponse:
        order = json.loads(await request.read())
        if await self._is_lost_with_earlier_life(request):
            return web.Response()
        if self._is_other_boot(request):
            return self._reply(421)
        if int(order.get("fencingToken", 0)) < self.token:
            return self._reply(409, reason="fence")
        self.token = int(order["fencingToken"])
        self.held_at = time.monotonic()
        self._extend_lease(order)
        acknowledged = int(order.get("ackCursor", 0))
        if self.ended and int(str(self.ended[0][0])) <= acknowledged:
            self.world.write(
                "acknowledged", executor=self.id, born=self.born, number=acknowledged
            )
        self.ended = [row for row in self.ended if int(str(row[0])) > acknowledged]
        wait_until = time.monotonic() + int(order.get("waitMs", 0)) / 1000
        life = self.lives
        while not self.ended and time.monotonic() < wait_until:
            await asyncio.sleep(TICK_SECONDS)
            if not self.is_up or life != self.lives:
                # The caller gets no response from a life that is over.
                await asyncio.sleep(SILENT_SECONDS)
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                self._saved(run, now),
                min(99, int(100 * run.worked(now) / run.seconds)),
                run.needs[0],
            ]
            for run in self.running.values()
        ]
        return self._reply(running=running, ended=self.ended[:MAX_ENDS_PER_REPORT])
