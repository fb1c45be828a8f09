"""Tell the next owner which runs have settled.

Load pattern: a rack is lost while the owner changes. The new owner never reaches its
upstreams, so it has not seen itself that any of their runs outlived its start. Without
word of the earlier owner, all of them would be suspected of the loss.
"""

from ..jobs import Task
from ._state import SchedulerState

# The clocks of two owners may differ by this much.
MAX_CLOCK_DIFFERENCE_MS = 1_500


def find_settled_ms(state: SchedulerState, now: float) -> int:
    """Return by when all runs that have not settled were started later, in Unix ms.

    Return 0 if the start of one of them is unknown. Those that were lost count as long
    as no record tells of the loss.
    """
    unsettled_starts = [
        run.start_ms
        for upstream in state.upstreams.values()
        for run in upstream.runs.values()
        if not upstream.is_settled(run)
    ]
    starts = [
        *unsettled_starts,
        *state.unrecorded_lost_starts,
        *state.lost_starts_in_writing,
    ]
    if starts:
        return max(0, min(starts) - 1)
    now_ms = round((now + state.unix_offset_seconds) * 1000)
    return max(now_ms, state.latest_start_ms)


def had_settled(settled_ms: int, task: Task) -> bool:
    """Return whether the latest run of a task had settled under an earlier owner."""
    return 0 < task.start_ms <= settled_ms - MAX_CLOCK_DIFFERENCE_MS
