"""Run a small deployment: the platform, executors and entry processes on loopback."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from types import TracebackType

import aiohttp
from aiohttp import web

from .executor import BEAT_SECONDS, TICK_SECONDS, Executor, Step, World
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "pool-a"
QUEUE_HOST = "queues.example"
PREFIX = "/jobs/"
KEY = "key-a"
READY_PATH = "/baobablane/ready"
CHECK_IN_SECONDS = 0.05
RESTART_SECONDS = 1.0
START_TIMEOUT_SECONDS = 30.0
PORTS = range(20_000, 32_000)
MAX_PORT_TRIES = 1_000
_taken_ports: set[int] = set()


class CaseError(Exception):
    """Report that a case could not be run."""


class Record:
    """Write what was sent, answered and run to a file, and keep it for the check."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()
        self.rows: list[dict] = []

    def write(self, event: str, **fields: object) -> None:
        """Add one row."""
        at = round(time.monotonic() - self._began_at, 4)
        row = {"at": at, "event": event, **fields}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")

    def of(self, event: str) -> list[dict]:
        """Return the rows of an event."""
        return [row for row in self.rows if row["event"] == event]

    def now(self) -> float:
        """Return the time in seconds as it stands in rows."""
        return time.monotonic() - self._began_at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Entry:
    """Run one entry process with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, fleet: "Fleet") -> None:
        """Write the settings file; `start` must be called next."""
        self.name, self._fleet = name, fleet
        self.address = f"127.0.0.1:{_free_port()}"
        metrics_port = _free_port()
        bounds = {
            "contactMs": 3000,
            "ackMs": 4000,
            "graceS": 6,
            "configApplyMs": 2000,
            "revokeMs": 5000,
            "maxHoldMs": 10000,
            "stopTimeoutMs": 400,
            "gangTimeoutMs": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "status_s": 120,
            "remoteFactor": 2,
            "leaseMs": 3000,
            "impactMs": 4000,
        }
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region-a",
            "listenAddrs": {"front": self.address, "ready": self.address},
            "portRange": [metrics_port, metrics_port],
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "heartbeatMs": 1500,
            "bounds": bounds,
            "controlMode": "rpc",
            "platform": {
                "address": fleet.store_address,
                "form": "log",
                "maxRecordBytes": 262144,
                "maxRequestBytes": 2097152,
            },
            "cloud": {"address": fleet.store_address, "ratePerS": 64.0},
        }
        self._settings = folder / f"{name}.yaml"
        self._settings.write_text(json.dumps(settings))
        self._log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = shlex.split(role["entry"]["run"])
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= role["entry"].get("env", {})
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BAOBABLANE_BOOT"] = str(self._settings)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        self._fleet.record.write("process-starts", process=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._fleet.record.write("signal", process=self.name, signal=number.name)
            self.process.send_signal(number)

    async def kill_and_restart(self) -> None:
        """Kill the process; the platform starts it again after a short delay."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        await self.start()

    async def end(self) -> None:
        """Kill the process for good."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()


class Fleet:
    """Run everything of a case; use as an async context manager."""

    def __init__(
        self,
        record_path: Path,
        executors: int,
        entries: int = 3,
        labelled: int = 0,
    ) -> None:
        """Prepare a fleet of one service; `labelled` executors are of kind `b`."""
        self.record = Record(record_path)
        self.world = World({}, self.record.write)
        self.store = Store(lambda: [e.listing() for e in self.world.executors])
        self.store_address = ""
        self.entries: list[Entry] = []
        self._counts = (executors, entries, labelled)
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        """Start everything, and wait until all entry processes are ready."""
        try:
            await self._begin()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def _begin(self) -> None:
        executors, entries, labelled = self._counts
        self._session = aiohttp.ClientSession()
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        port = _free_port()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.store_address = f"127.0.0.1:{port}"
        for number in range(executors):
            executor = Executor(self.world, f"m{number}", SERVICE, "zone-a")
            executor.address = f"127.0.0.1:{_free_port()}"
            executor.kind = "b" if number < labelled else "a"
            await executor.serve()
            self.world.executors.append(executor)
        self._write_manifest()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._check_in()),
        ]
        folder = Path(self._folder.name)
        self.entries = [Entry(f"entry-{n}", folder, self) for n in range(entries)]
        for entry in self.entries:
            await entry.start()
        await self.wait_for(self._are_ready, START_TIMEOUT_SECONDS, "not ready")

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes and servers."""
        for entry in self.entries:
            await entry.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for executor in self.world.executors:
            await executor.close()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()
        self._folder.cleanup()
        self.record.close()

    async def wait_for(
        self, condition: Callable[[], Awaitable[bool]], seconds: float, what: str
    ) -> None:
        """Wait until an asynchronous condition holds, or raise CaseError."""
        until = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > until:
                raise CaseError(f"after {seconds} s: {what}")
            await asyncio.sleep(0.05)

    async def call(
        self, entry: Entry, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        """Send a client's request; the status is 0 without a response."""
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {KEY}"}
        if self._session is None:
            raise CaseError("no session")
        try:
            async with self._session.request(
                method,
                f"http://{entry.address}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as response:
                text = await response.text()
                return response.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    async def submit(self, job: str, spec: object, steps: list[dict]) -> None:
        """Hand a submission in, at other entry processes until it is accepted."""
        for number, step in enumerate(steps):
            self.world.steps[f"{job}.{number}"] = Step(
                step["count"],
                step["cpu"],
                step["memMb"],
                step.get("allOrNothing", False),
                step.get("checkpointing", False),
            )
        body = {"spec": json.dumps(spec), "steps": steps}
        for attempt in range(8):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = await self.call(entry, "POST", PREFIX + job, body)
            self.record.write("submit", job=job, entry=entry.name, status=status)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CaseError(f"submission {job} was not accepted")

    async def state(self, job: str) -> str:
        """Return a submission's state as some entry process shows it, or nothing."""
        for entry in self.entries:
            status, answer = await self.call(entry, "GET", PREFIX + job)
            self.record.write(
                "state",
                job=job,
                entry=entry.name,
                status=status,
                state=answer.get("state"),
            )
            if status == 200:
                return str(answer["state"])
        return ""

    def last_writer(self) -> Entry:
        """Return the entry process that last wrote to the store under a condition."""
        owner = self.store.newest("keyed.progress", "owner")
        if not isinstance(owner, dict):
            raise CaseError("no entry process has written under a condition")
        name = str(owner["holder"]).rpartition("-")[0]
        return next(entry for entry in self.entries if entry.name == name)

    async def _are_ready(self) -> bool:
        statuses = [await self.call(e, "GET", READY_PATH) for e in self.entries]
        return all(status == 200 for status, _ in statuses) and bool(
            self.store.newest("keyed.progress", "owner")
        )

    def _write_manifest(self) -> None:
        route = {
            "name": "queue-a",
            "host": QUEUE_HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": 3,
            "slackFactor": 2.0,
            "targetLatencyMs": 1000,
        }
        tenant = {"name": "tenant-a", "apiKeys": [KEY], "weight": 1.0, "cap": {}}
        manifest = {
            "version": 1,
            "routes": [route],
            "services": [{"name": SERVICE, "enforceCapacity": True}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [tenant],
        }
        self.store.put("keyed.op", "config", manifest)

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            for executor in self.world.executors:
                executor.tick(now)
            await asyncio.sleep(TICK_SECONDS)

    async def _check_in(self) -> None:
        """Write the entries of live executors; remove those silent for three beats."""
        sequence = 0
        seen: dict[str, float] = {}
        while True:
            now = time.monotonic()
            for executor in self.world.executors:
                if executor.is_up and now >= executor.next_beat_at:
                    sequence += 1
                    executor.next_beat_at = now + BEAT_SECONDS
                    seen[executor.id] = now
                    entry = executor.entry(sequence)
                    self.store.put("keyed.servers", executor.id, entry)
            for name, at in list(seen.items()):
                if now - at > 3 * BEAT_SECONDS:
                    del seen[name]
                    self.store.put("keyed.servers", name, None)
            await asyncio.sleep(CHECK_IN_SECONDS)


def run_case(case: Callable[[], Coroutine[None, None, int]]) -> int:
    """Run a case, and return its exit code; 2 means that it could not run.

    A signal to stop cancels the case, so that its processes end with it.
    """

    async def run() -> int:
        task = asyncio.ensure_future(case())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        return asyncio.run(run())
    except (CaseError, asyncio.CancelledError, KeyboardInterrupt) as error:
        print(f"the case did not run: {error!r}")
    except Exception:
        traceback.print_exc()
    return 2


def _free_port() -> int:
    """Return a port on which nobody listens, outside of the range of clients' ports."""
    for _ in range(MAX_PORT_TRIES):
        port = random.choice(PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port
    raise CaseError("no free port")
