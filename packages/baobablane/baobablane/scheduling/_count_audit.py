"""Check what is counted of runs against the runs that are known.

Load pattern: none. A count that differs keeps room of an upstream, or a part of an
account's limit, from all work for as long as the owner stays.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from ..deployment import NO_RESOURCES, Resources
from ._event import SchedulingEvent
from ._state import SchedulerState
from ._upstream import counted_resources, run_name

T = TypeVar("T")

MISCOUNT_EVENT = "counts-differ"
# At most so many differences of a check, and runs of an upstream, are named in the log.
MAX_NAMED_COUNTS = 10
MAX_NAMED_RUNS = 20
# Cores are sums of floating-point numbers.
CORES_ERROR = 1e-6


@dataclass(frozen=True, slots=True)
class Miscount:
    """Hold what is counted for a name, and the sum over the known runs."""

    # One of upstream, account, job and standing.
    kind: str
    name: str
    counted: object
    expected: object


def find_miscounts(state: SchedulerState) -> list[Miscount]:
    """Return the counts that differ from the sum over the runs of all upstreams."""
    used_by_upstream: dict[str, Resources] = {}
    used_by_account: defaultdict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
    run_count_by_job: Counter[str] = Counter()
    cores_by_account: defaultdict[str, float] = defaultdict(float)
    for name, upstream in state.upstreams.items():
        used = NO_RESOURCES
        for run in upstream.runs.values():
            used = used + counted_resources(run)
            run_count_by_job[run.task.job] += 1
            if run.account:
                used_by_account[run.account] = used_by_account[run.account] + run.needs
            if not run.is_lasting and not run.is_filler:
                cores_by_account[run.account] += run.needs.cpu_millis / 1000
        used_by_upstream[name] = used
    counted_by_upstream = {name: u.used for name, u in state.upstreams.items()}
    return [
        *_compare("upstream", counted_by_upstream, used_by_upstream, NO_RESOURCES),
        *_compare("account", state.usage.used(), used_by_account, NO_RESOURCES),
        *_compare("job", state.run_count_by_job, run_count_by_job, 0),
        *_compare("standing", state.standings.counted_cores(), cores_by_account, 0.0),
    ]


def _compare(
    kind: str, counted: Mapping[str, T], expected: Mapping[str, T], nothing: T
) -> Iterator[Miscount]:
    for name in counted.keys() | expected.keys():
        of_counts, of_runs = counted.get(name, nothing), expected.get(name, nothing)
        if of_counts != of_runs and not _is_rounding(of_counts, of_runs):
            yield Miscount(kind, name, of_counts, of_runs)


def _is_rounding(counted: object, expected: object) -> bool:
    return (
        isinstance(counted, float)
        and isinstance(expected, float)
        and abs(counted - expected) <= CORES_ERROR
    )


def log_miscounts(state: SchedulerState) -> int:
    """Log the counts that differ, and return how many do.

    They are left as they are: a run that is missing among the known ones may exist.
    """
    miscounts = find_miscounts(state)
    for miscount in miscounts[:MAX_NAMED_COUNTS]:
        upstream = state.upstreams.get(miscount.name)
        named = list(upstream.runs.values())[:MAX_NAMED_RUNS] if upstream else []
        state.events.append(
            SchedulingEvent(
                MISCOUNT_EVENT,
                upstream=miscount.name if miscount.kind == "upstream" else "",
                reason=f"{miscount.kind} {miscount.name}: {miscount.counted} counted, "
                f"{miscount.expected} known",
                beside=tuple(run_name(run) for run in named),
            )
        )
    return len(miscounts)
