"""Run the stand-ins and entry instances of a small fleet on loopback."""

import csv
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import zmq

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-demo"
ZONES = ("a", "b", "c")
WAIT_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.02
HTTP_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """Store the first port of each kind of process."""

    log: int = 7000
    instances: int = 7001
    executors: int = 7100
    callers: int = 8000
    operators: int = 8100
    peers: int = 8200


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Store an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


class LocalFleet:
    """Start and stop the processes of a fleet; use as a context manager."""

    def __init__(
        self,
        entry_count: int = 3,
        executor_count: int = 30,
        ports: FleetPorts | None = None,
        log_directory: Path | None = None,
        retention_seconds: float = 86_400.0,
        timing: str = "",
    ) -> None:
        """Set the size of the fleet; `start` starts the processes.

        `timing` holds lines of the table `[timing]` in the entry instances' settings.
        """
        self.entry_count = entry_count
        self.ports = ports or FleetPorts()
        self._executor_count = executor_count
        self._retention_seconds = retention_seconds
        self._timing = timing
        self._directory = Path(tempfile.mkdtemp(prefix="baobab-"))
        self._log_directory = log_directory or self._directory
        self._public_key, self._secret_key = zmq.curve_keypair()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "LocalFleet":
        """Start all processes, or stop them again if one fails to start."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    @property
    def log_url(self) -> str:
        """Return the URL of the stand-in log."""
        return f"http://{HOST}:{self.ports.log}"

    def callers_url(self, index: int) -> str:
        """Return the URL at which an entry instance serves callers."""
        return f"http://{HOST}:{self.ports.callers + index}"

    def operators_url(self, index: int) -> str:
        """Return the URL at which an entry instance serves operators."""
        return f"http://{HOST}:{self.ports.operators + index}"

    def executor_url(self, index: int) -> str:
        """Return the URL of an executor."""
        return f"http://{HOST}:{self.ports.executors + index}"

    def start(self) -> None:
        """Start the stand-ins, then the entry instances."""
        ports = self.ports
        retention = str(self._retention_seconds)
        self._start_standin("log", ports.log, "--retention-seconds", retention)
        self._start_standin("instances", ports.instances)
        self._start_standin(
            "executors", ports.executors, "--count", str(self._executor_count)
        )
        self.wait_for(lambda: self._responds_ok(f"{self.log_url}/stats"), "the log")
        last = self._executor_count - 1
        self.wait_for(
            lambda: self._responds_ok(f"{self.executor_url(last)}/runs"), "executors"
        )
        for index in range(self.entry_count):
            self.start_entry(index)

    def start_entry(self, index: int) -> None:
        """Start one entry instance."""
        path = self._directory / f"entry-{index}.toml"
        path.write_text(self._entry_settings(index))
        program = str(Path(sys.executable).with_name("baobabd"))
        self._spawn(f"entry-{index}", [program, "--config", str(path)])

    def write_register(self, example: Path) -> Path:
        """Write a copy of an example's register with this fleet's ports."""
        with (example / "register.csv").open(newline="") as source:
            rows = list(csv.DictReader(source))
        for index, row in enumerate(rows):
            row["Port"] = str(self.ports.executors + index)
        path = self._directory / "register.csv"
        with path.open("w", newline="") as target:
            writer = csv.DictWriter(target, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
        return path

    def apply(self, example: Path) -> None:
        """Publish an example's register and rules and wait until they are in force."""
        rules = self.write_rules(example)
        self.run_baobab(
            "apply", str(rules), str(self.write_register(example)), "--wait"
        )

    def write_rules(self, example: Path) -> Path:
        """Write a copy of an example's rules with this fleet's entry instance count."""
        text = (example / "rules.toml").read_text()
        path = self._directory / "rules.toml"
        size = f"entry_instances = {self.entry_count}"
        path.write_text(text.replace("entry_instances = 9", size))
        return path

    def run_baobab(
        self, *arguments: str, check: bool = True
    ) -> "subprocess.CompletedProcess[str]":
        """Run the operators' command line and return its result."""
        program = str(Path(sys.executable).with_name("baobab"))
        environment = {
            **os.environ,
            "BAOBAB_LOG": self.log_url,
            "BAOBAB_TOKEN": OPERATOR_TOKEN,
        }
        return subprocess.run(
            [program, *arguments],
            env=environment,
            check=check,
            capture_output=True,
            text=True,
        )

    def wait_ready(self, index: int) -> None:
        """Wait until an entry instance is ready for callers."""
        url = f"{self.operators_url(index)}/readyz"
        self.wait_for(lambda: self._responds_ok(url), f"entry-{index}")

    def status(self, index: int) -> dict[str, object] | None:
        """Return the status report of an entry instance, or None if unreachable."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        try:
            response = send_request(
                "GET", f"{self.operators_url(index)}/v1/status", headers=headers
            )
        except OSError:
            return None
        report = json.loads(response.body)
        return report if isinstance(report, dict) else None

    def set_switches(self, url: str, **switches: object) -> None:
        """Set the failure switches of a stand-in."""
        send_request("PUT", f"{url}/switches", json.dumps(switches).encode())

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    def log_lines(self, name: str) -> list[str]:
        """Return the lines that a process has logged so far."""
        return (self._log_directory / f"{name}.jsonl").read_text().splitlines()

    def wait_for(self, condition: Callable[[], bool], description: str) -> None:
        """Wait until a condition holds, or raise TimeoutError after a time limit."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"{description}: timed out after {WAIT_TIMEOUT_SECONDS:.0f} s"
                )
            time.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """Stop every process, entry instances before the stand-ins they use."""
        entries = {n: p for n, p in self.processes.items() if n.startswith("entry")}
        others = {n: p for n, p in self.processes.items() if n not in entries}
        _terminate(list(entries.values()))
        for process in others.values():
            process.kill()
            process.wait()
        self.processes.clear()

    def _start_standin(self, kind: str, port: int, *options: str) -> None:
        command = [sys.executable, "-m", "baobablane_standin", kind]
        self._spawn(kind, [*command, "--port", str(port), *options])

    def _spawn(self, name: str, command: list[str]) -> None:
        log_path = self._log_directory / f"{name}.jsonl"
        with log_path.open("ab") as log_file:
            self.processes[name] = subprocess.Popen(
                command, stdout=log_file, stderr=log_file, start_new_session=True
            )

    def _responds_ok(self, url: str) -> bool:
        try:
            return send_request("GET", url).status == 200
        except OSError:
            return False

    def _entry_settings(self, index: int) -> str:
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        ports = self.ports
        return f"""
[instance]
id = "entry-{index}"
zone = "{ZONES[index % len(ZONES)]}"
host = "{HOST}"
callers_port = {ports.callers + index}
operators_port = {ports.operators + index}
peers_port = {ports.peers + index}

[platform]
log_url = "{self.log_url}"
instance_list_url = "http://{HOST}:{ports.instances}"
log_retention_seconds = {self._retention_seconds}

[operators]
token_digest = "{digest}"

[peers]
curve_public_key = '{self._public_key.decode()}'
curve_secret_key = '{self._secret_key.decode()}'

[timing]
{self._timing}
"""


def _terminate(processes: list["subprocess.Popen[bytes]"]) -> None:
    for process in processes:
        if process.poll() is None:
            # A process suspended with SIGSTOP handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
    deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
    for process in processes:
        try:
            process.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def send_request(
    method: str, url: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> HttpResponse:
    """Send an HTTP request and return the response, whatever its status."""
    request = urllib.request.Request(url, data=body or None, method=method)
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_SECONDS) as response:
            return HttpResponse(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        return HttpResponse(error.code, dict(error.headers), error.read())
