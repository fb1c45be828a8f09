"""Run one entry instance as a process, again after each end."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path

from baobablane_platform import SETTINGS_VARIABLE

from ._link_proxy import HOST

ROOT = Path(__file__).resolve().parent.parent
ENTRY_POINT = ROOT / "deploy" / "entry.py"
# Below the ports that systems give to clients, so that a port stays free for a restart.
PORTS = range(12_000, 20_000)
RESTART_SECONDS = 0.5
PORTS_PER_ENTRY = 3
EXPECTED_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


class EntryProcess:
    """Own the process of one entry instance."""

    def __init__(
        self, name: str, folder: Path, link_mbit: float, ports: Sequence[int]
    ) -> None:
        """Take three ports; `run` must be called next."""
        self.name = name
        # For callers, for metrics, and for those that watch the instance.
        caller_port, *self._ports = ports
        self.address = f"{HOST}:{caller_port}"
        self.log_path = folder / f"{name}.log"
        # How the process ended though nobody had ended it.
        self.unexpected_ends: list[int] = []
        # Called at each start.
        self.on_start: Callable[[], None] = lambda: None
        self._settings_path = folder / f"{name}.yaml"
        self._link_mbit = link_mbit
        self._process: asyncio.subprocess.Process | None = None
        self._is_ending = False

    @property
    def pid(self) -> int | None:
        """Return the id of the process, or None while there is none."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    def write_settings(self, store: str, instance_list: str) -> None:
        """Write the settings file with the addresses of the proxies."""
        settings = {
            "node": self.name,
            "zone": "zone-a",
            "ip": HOST,
            "portRange": self._ports,
            "listenAddrs": {"front": self.address},
            "platform": {"address": store},
            "cloud": {"address": instance_list},
            "limits": {"linkMbps": self._link_mbit},
        }
        self._settings_path.write_text(json.dumps(settings))

    async def run(self) -> None:
        """Run the process, and start it again after each end, until cancelled."""
        try:
            while True:
                await self._run_once()
                await asyncio.sleep(RESTART_SECONDS)
        finally:
            await self._kill()

    def signal(self, number: signal.Signals) -> bool:
        """Send a signal, and return whether there was a process."""
        if self._process is None or self._process.returncode is not None:
            return False
        self._is_ending |= number in EXPECTED_SIGNALS
        self._process.send_signal(number)
        return True

    async def _run_once(self) -> None:
        self._is_ending = False
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path)}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ENTRY_POINT),
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.on_start()
        status = await self._process.wait()
        if not self._is_ending:
            self.unexpected_ends.append(status)

    async def _kill(self) -> None:
        if self.signal(signal.SIGKILL) and self._process is not None:
            await self._process.wait()


def find_free_ports(count: int, candidates: Sequence[int] = PORTS) -> list[int]:
    """Return different ports on which nobody listens."""
    found: list[int] = []
    for port in random.SystemRandom().sample(candidates, len(candidates)):
        if len(found) == count:
            break
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            found.append(port)
    return found
