"""Run the project's stand-in platform and its entry instances for one case.

The platform, its store and the executors are `baobablane_standin.platform`, in this
process. The entry instances are processes, started as the deploy file says.
"""

import asyncio
import json
import logging
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

import aiohttp
from baobablane_standin.platform import (
    API_KEY,
    QUEUE_HOST,
    PlatformStandin,
    StandinSettings,
)
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

# Takes a step and the ids of executors, and returns those that may run it.
Advise = Callable[[str, list[str]], list[str]]
ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
READY_SECONDS = 20.0
# What is left of 120 s is for the end of all processes.
MAX_SECONDS = 105.0
REQUEST_SECONDS = 3.0
DISRUPTED, HELD, NOT_RUN = 1, 0, 2
PORTS_PER_ENTRY = 4
# Below the ports that systems give to clients.
PORTS = range(12_000, 20_000)
# Of the placement advisor.
DECISION_MS, PERIOD_MS, VALIDITY_MS = 20, 2, 3000
# As on the users' smallest installation.
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "requireFencing": True,
    "leaseMs": 3000,
}


class Record:
    """Write what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: object) -> None:
        """Add one line."""
        line = {"at": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Entry:
    """Own the process of one entry instance."""

    def __init__(self, name: str, folder: Path) -> None:
        """Choose free ports."""
        self.name = name
        self.ports = _free_ports(PORTS_PER_ENTRY)
        self.address = f"{HOST}:{self.ports[0]}"
        self.ready_address = f"{HOST}:{self.ports[1]}"
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, platform: str, advisor: str = "") -> None:
        """Start the process with the platform's and the placement advisor's address."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "frontend",
            "zone": "zone-a",
            "ip": HOST,
            "portRange": self.ports[2:],
            "listenAddrs": {"front": self.address, "ready": self.ready_address},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "linkMbps": 1000.0,
            },
            "bounds": BOUNDS,
            "controlMode": "rpc",
            "platform": {"address": platform, "maxRecordBytes": 262144},
            "cloud": {"address": platform},
            "recommendation": advisor or None,
        }
        self._settings.write_text(json.dumps(settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["BAOBABLANE_BOOT"] = str(self._settings)
        environment["BAOBAB_ACCOUNT_SHARES"] = "on"
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/entry.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the lines that the process has logged."""
        lines: list[dict[str, Any]] = []
        for line in self._log.read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except json.JSONDecodeError:
                continue
        return lines


class ReviewSite:
    """Run a platform and entry instances; use as an async context manager."""

    def __init__(
        self,
        record: Record,
        settings: StandinSettings,
        entries: int,
        advise: Advise | None = None,
    ) -> None:
        """Start nothing yet; `advise` answers a call for advice, if there is a queue.

        It takes a step and the ids of executors, and returns those that may run it.
        """
        self.record = record
        self._advise = advise
        self.platform = PlatformStandin(settings)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._folder.name)
        self.entries = [Entry(f"entry-{n}", folder) for n in range(entries)]
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Start everything; raise RuntimeError if the entry instances don't answer."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.platform.__aenter__()
        for upstream in self.platform.upstreams:
            upstream.on_event = self._make_listener(upstream.id)
        self._session = aiohttp.ClientSession()
        advisor = ""
        if self._advise is not None:
            route = Route("/baobablane/advise", self._serve_advice, methods=["POST"])
            # The platform's servers are started in the same way.
            advisor = await self.platform._serve(Starlette(routes=[route]))
        for entry in self.entries:
            await entry.start(self.platform.address, advisor)
        await asyncio.gather(*(self._await_ready(entry) for entry in self.entries))

    async def __aexit__(self, *error: object) -> None:
        """End all processes and servers."""
        for entry in self.entries:
            await entry.end()
        if self._session is not None:
            await self._session.close()
        await self.platform.__aexit__()
        self._folder.cleanup()

    async def call(
        self, entry: Entry, method: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Send a caller's request; return status 0 without an answer in time."""
        assert self._session is not None
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Bearer {API_KEY}",
            "Content-Type": "application/json",
            "Baobablane-Deadline-Ms": str(round(REQUEST_SECONDS * 1000)),
        }
        self.record.write("sent", entry=entry.name, method=method, path=path)
        status, answer = 0, None
        try:
            async with self._session.request(
                method,
                f"http://{entry.address}{path}",
                data=None if body is None else json.dumps(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_SECONDS),
            ) as response:
                text = await response.text()
                status = response.status
                answer = json.loads(text) if text else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self.record.write("no-answer", entry=entry.name, reason=repr(error))
        self.record.write(
            "answered",
            entry=entry.name,
            method=method,
            path=path,
            status=status,
            answer=answer,
        )
        return status, answer

    async def _serve_advice(self, request: Request) -> JSONResponse:
        assert self._advise is not None
        call = await request.json()
        names = call["workers"]
        await asyncio.sleep((DECISION_MS + PERIOD_MS * len(names)) / 1000)
        allowed = self._advise(call["step"], names)
        self.record.write("advised", step=call["step"], asked=names, allowed=allowed)
        rows = [[name, f"ticket-{name}"] for name in allowed]
        return JSONResponse({"eligible": rows, "validityMs": VALIDITY_MS})

    async def _await_ready(self, entry: Entry) -> None:
        assert self._session is not None
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            try:
                async with self._session.get(
                    f"http://{entry.ready_address}/baobablane/ready",
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as response:
                    if response.status == 200:
                        self.record.write("ready", entry=entry.name)
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{entry.name} is not ready")

    def _make_listener(self, name: str) -> Any:
        def listen(event: str, fields: Any) -> None:
            if event != "acknowledged":
                self.record.write(f"executor-{event}", executor=name, **fields)

        return listen


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Any, folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if it couldn't run."""
    # The stand-in's server logs the requests that the end of a case cuts off.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    record = Record(folder / "record.txt")
    try:
        is_broken = asyncio.run(_bound(case(record)))
    except (Exception, asyncio.CancelledError) as error:
        record.write("could-not-run", reason=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.write("verdict", is_broken=is_broken, has_trouble=has_trouble())
    print("broken" if is_broken else "held")
    sys.exit(DISRUPTED if is_broken else HELD)


async def _bound(case: Coroutine[Any, Any, bool]) -> bool:
    """Run a case; end it after a time, or when this process is to stop."""
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, MAX_SECONDS)


def _free_ports(count: int) -> list[int]:
    found: list[int] = []
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        if len(found) == count:
            break
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            found.append(port)
    return found
