"""Compare the path with a bare pass-through, in one run on one machine."""

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
SECONDS = 1.0
ROUNDS = 16
TARGET_THROUGHPUT_RATIO = 0.8
TARGET_ADDED_SECONDS = 0.003


def measure_path() -> None:
    """Print throughput and latencies of both, and whether the targets are met."""
    ports = find_fleet_ports()
    with LocalFleet(entry_count=1, ports=ports) as fleet:
        fleet.apply(EXAMPLE)
        fleet.wait_ready(0)
        port = ports.callers + 40
        target = f"{fleet.executor_url(0)}/v1/tasks"
        command = [sys.executable, "-m", "bench.passthrough", str(port), target]
        bare = subprocess.Popen(command)
        try:
            entry = fleet.processes["entry-0"].pid
            asyncio.run(_compare(ports.callers, port, entry, bare.pid))
        finally:
            bare.terminate()
            bare.wait()


async def _compare(ours: int, bare: int, entry_pid: int, bare_pid: int) -> None:
    request = make_request("/v1/queues/previews/requests", KEY)
    for port in (bare, ours):
        await _settle(port, request)
    full: dict[int, list[LoadResult]] = {bare: [], ours: []}
    used = {bare: -_cpu_seconds(bare_pid), ours: -_cpu_seconds(entry_pid)}
    for _ in range(ROUNDS):
        for port in (bare, ours):
            full[port].append(await run_load(port, request, CONNECTIONS, SECONDS))
    used[bare] += _cpu_seconds(bare_pid)
    used[ours] += _cpu_seconds(entry_pid)
    for name, port in (("bare", bare), ("path", ours)):
        each = used[port] / sum(result.answered for result in full[port])
        print(f"processor time per request: {name} {each * 1e6:.0f} us")
    rates = {port: median(r.per_second for r in full[port]) for port in full}
    ratio = median(
        b.per_second / a.per_second for a, b in zip(full[bare], full[ours], strict=True)
    )
    failed = sum(result.failed for results in full.values() for result in results)
    print(f"throughput: bare {rates[bare]:.0f}/s, path {rates[ours]:.0f}/s", end="")
    print(f", median ratio of {ROUNDS} pairs {ratio:.2f}, failed {failed}", end="")
    print(
        f" (target {TARGET_THROUGHPUT_RATIO}: {_say(ratio >= TARGET_THROUGHPUT_RATIO)})"
    )
    half = rates[ours] / 2
    slow: dict[int, list[LoadResult]] = {bare: [], ours: []}
    for _ in range(ROUNDS):
        for port in (bare, ours):
            slow[port].append(await run_load(port, request, CONNECTIONS, SECONDS, half))
    for name, port in (("bare", bare), ("path", ours)):
        p50, p99 = (
            median(r.quantile(part) for r in slow[port]) * 1000 for part in (0.5, 0.99)
        )
        print(f"half load {half:.0f}/s: {name} p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    added = median(
        b.quantile(0.5) - a.quantile(0.5)
        for a, b in zip(slow[bare], slow[ours], strict=True)
    )
    print(f"added at p50, median of {ROUNDS} pairs: {added * 1000:.2f} ms", end="")
    print(f" (target 3 ms: {_say(added <= TARGET_ADDED_SECONDS)})")


async def _settle(port: int, request: bytes) -> None:
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


def _say(is_met: bool) -> str:
    return "met" if is_met else "MISSED"
