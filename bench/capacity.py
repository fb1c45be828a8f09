"""Measure how resource use grows with the fleet, as input for docs/CAPACITY.md."""

import os
import re
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from baobablane.config import (
    ABSENT,
    Change,
    Instance,
    Team,
    build_view,
    encode_record,
    make_checkpoint,
)
from baobablane.journal import Intent
from baobablane.journal import encode_record as encode_intent
from baobablane.limits import Escrow, Ledger
from baobablane.membership import SLOT_COUNT
from baobablane.shares import DemandLine
from baobablane_daemon.tasks import Heartbeat, decode_message, encode_message
from baobablane_standin.free_ports import find_fleet_ports
from baobablane_standin.local_fleet import OPERATOR_TOKEN, LocalFleet, send_request

from .synthetic_config import apply_entries, build_state, make_config_entries

EXAMPLE = Path(__file__).parent.parent / "examples" / "fundacion"
# Instances, pools, teams and entry instances.
FLEET_SIZES = ((30, 5, 6, 9), (550, 9, 38, 12), (1100, 17, 75, 23), (2200, 34, 150, 45))
MEMBER_COUNTS = (3, 6, 9)
SAMPLE_SECONDS = 10.0
ROUNDS = 7
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Store the processor time, memory and counters of a process."""

    cpu_seconds: float
    memory_bytes: int
    totals_by_metric: dict[str, float]


def main() -> None:
    """Print all measurements."""
    _measure_state()
    _measure_heartbeats()
    _measure_records()
    _measure_daemons()


def _measure_state() -> None:
    print("state in memory and cost of one configuration change")
    for instances, pools, teams, entries in FLEET_SIZES:
        tracemalloc.start()
        state = build_state(make_config_entries(instances, pools, teams, entries))
        view = build_view(state)
        state_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        change = [Team("team-1", 2.0, 300)]
        seconds = _median_seconds(
            lambda s=state, c=change: build_view(apply_entries(c, s, 1))
        )
        checkpoint_bytes = len(encode_record(make_checkpoint(state, 0, "c")))
        print(f"  {instances} instances, {pools} pools, {teams} teams: ", end="")
        print(f"{state_bytes / 1e6:.2f} MB, change {seconds * 1e3:.2f} ms, ", end="")
        print(f"checkpoint {checkpoint_bytes / 1e3:.0f} KB, revision {view.revision}")


def _measure_heartbeats() -> None:
    print("one heartbeat: bytes, and microseconds to encode and to decode")
    for line_count in (0, 5, 20, 80, 300):
        demand = tuple(
            DemandLine(f"pool-{n % 34}", f"team-{n % 150}", 3, 2, 1234.5)
            for n in range(line_count)
        )
        ledger = Ledger("entry-10-0a1b2c3d", "entry-20-0a1b2c3d", 123456, (), {})
        heartbeat = Heartbeat(
            "entry-10-0a1b2c3d",
            "entry-10",
            "10.0.0.1",
            8200,
            123456.789012,
            123456.789012,
            123456,
            12345,
            123456,
            demand,
            ledger,
        )
        frame = encode_message(heartbeat)
        encode_seconds = _median_seconds(lambda h=heartbeat: encode_message(h))
        decode_seconds = _median_seconds(lambda f=frame: decode_message(f))
        cost = f"{encode_seconds * 1e6:.1f}, {decode_seconds * 1e6:.1f}"
        print(f"  {line_count} demand lines: {len(frame)} B, {cost}")


def _measure_records() -> None:
    team_change = Change(
        "change-0123456789abcdef", "ana", {"team/t": 5}, (Team("t", 1, 9),)
    )
    instance = Instance(
        "w-1", "10.0.0.1", 80, "zone-1", "rack-1", "pool-1", 8, 64, 32, 64
    )
    instance_change = Change(
        "change-0123456789abcdef", "ana", {"instance/w-1": ABSENT}, (instance,)
    )
    intent = Intent(
        "entry-1-0a1b2c3d-12.intent", "k" * 32, "f" * 32, "entry-1-0a1b2c3d", 1e9
    )
    print("records: ", end="")
    print(f"team change {len(encode_record(team_change))} B, ", end="")
    print(f"instance change {len(encode_record(instance_change))} B, ", end="")
    print(f"intent {len(encode_intent(intent))} B")
    escrow = Escrow("me")
    limits = {f"team-{n}": 400 for n in range(150)}
    escrow.set_limits(limits, 0)

    def reassign_slots() -> None:
        escrow.set_slots(())
        escrow.set_slots(range(SLOT_COUNT))

    seconds = _median_seconds(reassign_slots) / 2
    print(f"applying new slots to an escrow of 150 teams: {seconds * 1e3:.2f} ms")


def _measure_daemons() -> None:
    print("one daemon without requests")
    for members in MEMBER_COUNTS:
        with LocalFleet(entry_count=members, ports=find_fleet_ports()) as fleet:
            fleet.apply(EXAMPLE)
            for index in range(members):
                fleet.wait_ready(index)
            before = _read_usage(fleet)
            time.sleep(SAMPLE_SECONDS)
            after = _read_usage(fleet)
        cpu = (after.cpu_seconds - before.cpu_seconds) / SAMPLE_SECONDS
        print(f"  {members} members: {cpu * 100:.1f}% of a core, ", end="")
        print(f"{after.memory_bytes / 1e6:.0f} MB, ", end="")
        print(
            ", ".join(
                f"{name} "
                f"{(total - before.totals_by_metric[name]) / SAMPLE_SECONDS:.0f}/s"
                for name, total in after.totals_by_metric.items()
            )
        )


def _read_usage(fleet: LocalFleet) -> ProcessUsage:
    pid = fleet.processes["entry-0"].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    text = send_request(
        "GET", f"{fleet.operators_url(0)}/metrics", headers=headers
    ).body.decode()
    matches = re.findall(r"^baobablane_((?:peer|log)_\w+)_total (\S+)$", text, re.M)
    totals = {name: float(value) for name, value in matches}
    return ProcessUsage(ticks / os.sysconf("SC_CLK_TCK"), pages * PAGE_BYTES, totals)


def _median_seconds(action: Callable[[], object]) -> float:
    durations: list[float] = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        action()
        durations.append(time.perf_counter() - started_at)
    return median(durations)


if __name__ == "__main__":
    main()
