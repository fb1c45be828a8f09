"""Run a small deployment of entry instances against the project's stand-in platform.

The entry instances are processes of their own, started by the command of the deploy
file. Everything else runs in this process, on loopback addresses.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from baobablane_standin.platform import (
    PlatformStandin,
    StandinSettings,
    StandinUpstream,
)
from baobablane_standin.platform._deployment import API_KEY, HOST, QUEUE_HOST

ROOT = Path(__file__).resolve().parent.parent.parent
FIRST_PORT, LAST_PORT = 20_000, 30_000
PORTS_PER_ENTRY = 4
START_SECONDS = 30.0
CALL_SECONDS = 5.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """Report that the case could not be played."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Entry:
    """Own the process of one entry instance."""

    def __init__(self, name: str, folder: Path, ports: list[int]) -> None:
        """Take four ports; `start` must be called next."""
        self.name = name
        self.address = f"{HOST}:{ports[0]}"
        self.log_path = folder / f"{name}.log"
        self._ports = ports
        self._settings_path = folder / f"{name}.yaml"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, instance_list: str) -> None:
        """Write the settings of a frontend machine of dal-portal."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": HOST,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listenAddrs": {
                "front": self.address,
                "ready": f"{HOST}:{self._ports[1]}",
            },
            "portRange": self._ports[2:4],
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "bounds": {
                "revokeMs": 5000,
                "configApplyMs": 2000,
                "leaseMs": 3000,
                "graceS": 6,
                "status_s": 120,
                "maxHoldMs": 10000,
                "remoteFactor": 2,
                "impactMs": 4000,
            },
            "controlMode": "rpc",
            "platform": {"address": store, "maxRecordBytes": 262144},
            "cloud": {"address": instance_list},
        }
        self._settings_path.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BAOBABLANE_BOOT": str(self._settings_path),
            **role["env"],
        }
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, also one that is stopped."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()


class Site:
    """Own the platform, the entry instances and a client; an async context manager."""

    def __init__(
        self, record: Record, entries: int = 3, upstreams: int = 2, cores: int = 8
    ) -> None:
        """Start nothing yet."""
        self.record = record
        self.platform = PlatformStandin(StandinSettings(upstreams, cores))
        self.entries: list[Entry] = []
        # Where an entry instance reaches the store, if not at its own address.
        self.store_by_entry: dict[str, str] = {}
        self._entry_count = entries
        self._folder = tempfile.TemporaryDirectory(prefix="baobablane-review-")
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Site":
        """Start the platform; `start_entries` starts the rest."""
        await self.platform.__aenter__()
        self._session = aiohttp.ClientSession()
        for upstream in self.platform.upstreams:
            upstream.on_event = self._make_listener(upstream.id)
        return self

    async def __aexit__(self, *error: object) -> None:
        """End everything that was started."""
        for entry in self.entries:
            await entry.kill()
        if self._session is not None:
            await self._session.close()
        await self.platform.__aexit__(None, None, None)
        if kept := os.environ.get("KEEP_LOGS"):
            for entry in self.entries:
                shutil.copy(entry.log_path, kept)
        self._folder.cleanup()

    async def start_entries(self) -> None:
        """Start the entry instances, and wait until all are ready."""
        ports = find_free_ports(PORTS_PER_ENTRY * self._entry_count)
        for number in range(self._entry_count):
            taken = ports[number * PORTS_PER_ENTRY :][:PORTS_PER_ENTRY]
            entry = Entry(f"entry-{number}", Path(self._folder.name), taken)
            store = self.store_by_entry.get(entry.name, self.platform.address)
            entry.write_settings(store, self.platform.address)
            self.entries.append(entry)
            await entry.start()
        async with asyncio.timeout(START_SECONDS):
            for entry in self.entries:
                while await self._ready(entry) != 200:
                    await asyncio.sleep(0.05)
        self.record.write("all entry instances are ready")

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: object = None,
        key: str = API_KEY,
        seconds: float = CALL_SECONDS,
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request; return its status (0 without an answer) and body."""
        assert self._session is not None
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Bearer {key}",
            "Baobablane-Deadline-Ms": "3000",
        }
        self.record.write(f"sent     {method} {path} to {entry.name}")
        status, answer = 0, {}
        try:
            async with self._session.request(
                method,
                f"http://{entry.address}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                text = await response.text()
                status, answer = response.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.record.write(f"no answer to {method} {path}: {error!r}")
        self.record.write(f"answered {method} {path}: {status} {json.dumps(answer)}")
        return status, answer

    async def owner(self) -> Entry:
        """Return the entry instance that places the tasks."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                newest = self.platform.store.partition("keyed.progress", 0).newest
                if "owner" in newest:
                    holder = json.loads(newest["owner"][1])["holder"]
                    name = holder.rpartition("-")[0]
                    return next(e for e in self.entries if e.name == name)
                await asyncio.sleep(0.05)

    def add_label(self, upstream: StandinUpstream, label: str) -> None:
        """List an executor with one more label, also after it has started again."""

        def register(previous_id: str) -> None:
            if previous_id != upstream.id:
                self.platform.store.put("keyed.servers", previous_id, b"")
            entry = upstream.registration(1)
            entry["labels"] = ["a", f"rack-{upstream.instance}", label]
            content = json.dumps(entry).encode()
            self.platform.store.put("keyed.servers", upstream.id, content)

        upstream.on_return = register
        register(upstream.id)

    def end_due_runs(self) -> None:
        """Record the runs that have ended by now."""
        for upstream in self.platform.upstreams:
            if not upstream.is_down:
                upstream.end_due_runs()

    async def _ready(self, entry: Entry) -> int:
        assert self._session is not None
        address = f"http://{HOST}:{entry._ports[1]}/baobablane/ready"
        try:
            async with self._session.get(address) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    def _make_listener(self, name: str) -> Callable[..., None]:
        def write(event: str, fields: Any) -> None:
            if event == "acknowledged":
                return
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self.record.write(f"executor {name}: {event} {text}")

        return write


def find_free_ports(count: int) -> list[int]:
    """Return different ports on which nobody listens."""
    found: list[int] = []
    start = FIRST_PORT + os.getpid() * 17 % (LAST_PORT - FIRST_PORT - 500)
    for port in range(start, LAST_PORT):
        if len(found) == count:
            break
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            found.append(port)
    return found


def run_case(
    folder: Path, play: Callable[[Record, bool], Coroutine[Any, Any, str]]
) -> int:
    """Play a case; return 1 if a rule was broken, 0 if it held, 2 if it did not run.

    `play` returns how the rule was broken, or an empty string.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    try:
        breach = asyncio.run(_play(play, record, has_trouble))
    except Exception as error:
        record.write(f"the case did not run: {error!r}")
        print(f"the case did not run: {error!r}")
        return NOT_RUN
    text = f"broken: {breach}" if breach else "the rule held"
    record.write(text)
    print(text)
    return BROKEN if breach else HELD


async def _play(
    play: Callable[[Record, bool], Coroutine[Any, Any, str]],
    record: Record,
    has_trouble: bool,
) -> str:
    async with asyncio.timeout(115.0):
        return await play(record, has_trouble)
