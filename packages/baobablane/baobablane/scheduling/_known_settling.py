"""Tell the next owner which runs have settled.

Load pattern: a rack is lost while the owner changes. The new owner never reaches its
upstreams, so it has not seen itself that any of their runs outlived its start. Without
word of the earlier owner, all of them would be suspected of the loss.
"""

from collections.abc import Iterator

from ..jobs import Task, TaskState
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
        *_untracked_starts(state),
        *state.unrecorded_lost_starts,
        *state.lost_starts_in_writing,
    ]
    if starts:
        return max(0, min(starts) - 1)
    now_ms = round((now + state.unix_offset_seconds) * 1000)
    return max(now_ms, state.latest_start_ms)


def _untracked_starts(state: SchedulerState) -> Iterator[int]:
    """Yield the starts of runs of jobs that could not be taken in."""
    if not state.apart_by_id:
        return
    # The keys of such a job's tasks may be invalid, so they are not parsed.
    tracked = {
        (task.job, f"{task.occurrence}.{task.step}.{task.position}")
        for upstream in state.upstreams.values()
        for task in upstream.runs
        if task.job in state.apart_by_id
    }
    for job_id, apart in state.apart_by_id.items():
        for key, task in apart.progress.tasks.items():
            is_started = task.state is TaskState.STARTED
            is_tracked = (job_id, key) in tracked
            if (
                is_started
                and not is_tracked
                and not had_settled(state.settled_ms, task)
            ):
                yield task.start_ms


def had_settled(settled_ms: int, task: Task) -> bool:
    """Return whether the latest run of a task had settled under an earlier owner."""
    return 0 < task.start_ms <= settled_ms - MAX_CLOCK_DIFFERENCE_MS
