"""Record the log streams of a fleet that runs through failures."""

import signal
import sys
from pathlib import Path

import msgspec
from baobablane.log import CheckpointedFold, LogPage, LogRecord
from baobablane.membership import MEMBERSHIP_FOLD
from baobablane_standin.free_ports import find_fleet_ports
from baobablane_standin.local_fleet import LocalFleet, send_request

EXAMPLE = Path(__file__).parent.parent / "examples" / "fundacion"
STREAMS = ("config", "membership")


def main() -> None:
    """Run a fleet through failures and write its streams to the given folder."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    with LocalFleet(ports=find_fleet_ports()) as fleet:
        fleet.apply(EXAMPLE)
        _wait_until_ready(fleet)
        fleet.set_switches(fleet.log_url, lose_answers=True)
        fleet.run_baobab("key", "withdraw", "rochademo")
        fleet.set_switches(fleet.log_url)
        fleet.run_baobab("drain", "w-01")
        fleet.signal("entry-1", signal.SIGKILL)
        fleet.processes["entry-1"].wait()
        fleet.start_entry(1)
        _wait_until_ready(fleet)
        fleet.signal("entry-2", signal.SIGTERM)
        fleet.processes["entry-2"].wait()
        fleet.wait_for(lambda: _all_slots_owned(fleet), "an owner of every slot")
        for stream in STREAMS:
            _write_records(fleet, stream, folder)


def _wait_until_ready(fleet: LocalFleet) -> None:
    for index in range(fleet.entry_count):
        fleet.wait_ready(index)


def _all_slots_owned(fleet: LocalFleet) -> bool:
    fold = CheckpointedFold(MEMBERSHIP_FOLD)
    fold.feed(_read_records(fleet, "membership"))
    return not fold.state.free_slots()


def _read_records(fleet: LocalFleet, stream: str) -> tuple[LogRecord, ...]:
    url = f"{fleet.log_url}/streams/{stream}/records?from=0"
    return msgspec.json.decode(send_request("GET", url).body, type=LogPage).records


def _write_records(fleet: LocalFleet, stream: str, folder: Path) -> None:
    encoded = (msgspec.json.encode(record) for record in _read_records(fleet, stream))
    lines = (line.decode() + "\n" for line in encoded)
    (folder / f"{stream}.jsonl").write_text("".join(lines))


if __name__ == "__main__":
    main()
