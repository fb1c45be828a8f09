"""Check that no owner has counted resources that no run uses."""

import json
from collections.abc import Iterator
from pathlib import Path

from ._breach import Breach

COUNT_PROMISE = "counts-match-runs"
MISCOUNT_EVENT = "counts-differ"


def find_miscounts(folder: Path, at: float) -> Iterator[Breach]:
    """Yield one breach for each miscount that a process has logged."""
    for path in sorted(folder.glob("*.log")):
        with path.open(errors="replace") as log:
            for line in log:
                if MISCOUNT_EVENT in line:
                    yield Breach(COUNT_PROMISE, at, _reason(line), path.stem)


def _reason(line: str) -> str:
    try:
        return str(json.loads(line)["reason"])
    except (ValueError, KeyError):
        # A process that was killed has cut its last line.
        return line.strip()
