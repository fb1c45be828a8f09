"""Compare an entry instance with a bare proxy, in one run on one machine."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path
from statistics import median

from baobablane_standin.free_ports import find_fleet_ports
from baobablane_standin.local_fleet import LocalFleet

from .load import LoadResult, make_request, run_load

EXAMPLE = Path(__file__).parent.parent / "examples" / "fundacion"
KEY = "bl_montevideodemo_montevideo-secret"
CONNECTIONS = 24
LOAD_SECONDS = 1.0
ROUNDS = 16
TARGET_THROUGHPUT_RATIO = 0.8
TARGET_ADDED_SECONDS = 0.003


def measure_request_path() -> None:
    """Print the throughput and latency of both, and whether the targets are met."""
    ports = find_fleet_ports()
    with LocalFleet(entry_count=1, ports=ports) as fleet:
        fleet.apply(EXAMPLE)
        fleet.wait_ready(0)
        bare_port = ports.callers + 40
        target = f"{fleet.executor_url(0)}/v1/tasks"
        command = [sys.executable, "-m", "bench.passthrough", str(bare_port), target]
        passthrough = subprocess.Popen(command)
        try:
            entry_pid = fleet.processes["entry-0"].pid
            asyncio.run(_compare(ports.callers, bare_port, entry_pid, passthrough.pid))
        finally:
            passthrough.terminate()
            passthrough.wait()


async def _compare(
    entry_port: int, bare_port: int, entry_pid: int, bare_pid: int
) -> None:
    request = make_request("/v1/queues/previews/requests", KEY)
    for port in (bare_port, entry_port):
        await _wait_until_serving(port, request)
    full_load_results: dict[int, list[LoadResult]] = {bare_port: [], entry_port: []}
    cpu_seconds = {
        bare_port: -_cpu_seconds(bare_pid),
        entry_port: -_cpu_seconds(entry_pid),
    }
    for _ in range(ROUNDS):
        for port in (bare_port, entry_port):
            full_load_results[port].append(
                await run_load(port, request, CONNECTIONS, LOAD_SECONDS)
            )
    cpu_seconds[bare_port] += _cpu_seconds(bare_pid)
    cpu_seconds[entry_port] += _cpu_seconds(entry_pid)
    for name, port in (("bare proxy", bare_port), ("entry instance", entry_port)):
        cpu_seconds_per_request = cpu_seconds[port] / sum(
            result.succeeded for result in full_load_results[port]
        )
        print(
            f"processor time per request: {name} {cpu_seconds_per_request * 1e6:.0f} us"
        )
    rates = {
        port: median(r.per_second for r in full_load_results[port])
        for port in full_load_results
    }
    ratio = median(
        entry.per_second / bare.per_second
        for bare, entry in zip(
            full_load_results[bare_port], full_load_results[entry_port], strict=True
        )
    )
    failed = sum(
        result.failed for results in full_load_results.values() for result in results
    )
    print(
        f"throughput: bare proxy {rates[bare_port]:.0f}/s, "
        f"entry instance {rates[entry_port]:.0f}/s",
        end="",
    )
    print(f", median ratio of {ROUNDS} pairs {ratio:.2f}, failed {failed}", end="")
    print(
        f" (target {TARGET_THROUGHPUT_RATIO}: "
        f"{_verdict(ratio >= TARGET_THROUGHPUT_RATIO)})"
    )
    half_rate = rates[entry_port] / 2
    half_load_results: dict[int, list[LoadResult]] = {bare_port: [], entry_port: []}
    for _ in range(ROUNDS):
        for port in (bare_port, entry_port):
            half_load_results[port].append(
                await run_load(port, request, CONNECTIONS, LOAD_SECONDS, half_rate)
            )
    for name, port in (("bare proxy", bare_port), ("entry instance", entry_port)):
        p50, p99 = (
            median(r.latency_quantile(fraction) for r in half_load_results[port]) * 1000
            for fraction in (0.5, 0.99)
        )
        print(f"half load {half_rate:.0f}/s: {name} p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    added_seconds = median(
        entry.latency_quantile(0.5) - bare.latency_quantile(0.5)
        for bare, entry in zip(
            half_load_results[bare_port], half_load_results[entry_port], strict=True
        )
    )
    print(
        f"added at p50, median of {ROUNDS} pairs: {added_seconds * 1000:.2f} ms", end=""
    )
    print(f" (target 3 ms: {_verdict(added_seconds <= TARGET_ADDED_SECONDS)})")


async def _wait_until_serving(port: int, request: bytes) -> None:
    for _ in range(50):
        try:
            await run_load(port, request, 4, 1.0)
        except OSError:
            await asyncio.sleep(0.1)
        else:
            return


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _verdict(is_met: bool) -> str:
    return "met" if is_met else "MISSED"
