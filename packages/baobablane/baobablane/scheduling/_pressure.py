"""Tell which pools cannot do all their work in time.

Load pattern: during its burst, a queue asks for four to five times its mean, which is
more than its pool holds. If they start in the order of their due times, most jobs are a
little late; those with less work go first instead.
"""

from ._job_run import JobRun
from ._state import SchedulerState

# Time between two measurements: each takes about a millisecond with 1,000 jobs.
MEASURING_INTERVAL_SECONDS = 0.1
# Part of a pool's cores that counts as its capacity. In a replay, a full pool used 0.92
# to 0.98 of its cores; the rest is lost between tasks.
USED_FRACTION = 0.9
# Work that is due within less than this counts as due then: a single task that has to
# start now does not press a pool.
MIN_HORIZON_MS = 500.0
# Pressure lasts this long after it was last measured. Within a burst, the work in time
# becomes less whenever jobs become late, and the order must not change with that.
HOLD_SECONDS = 1.0


def measure_pressure(state: SchedulerState, now: float, unix_ms: int) -> None:
    """Update the pools under pressure, if the last measurement is not recent."""
    if now - state.pressure_measured_at < MEASURING_INTERVAL_SECONDS:
        return
    state.pressure_measured_at = now
    for pool in _pressed_pools(state, unix_ms):
        state.pressed_until[pool] = now + HOLD_SECONDS
    state.pressed_pools = frozenset(
        pool for pool, until in state.pressed_until.items() if now < until
    )


def is_pressed(state: SchedulerState, job_run: JobRun) -> bool:
    """Return whether the work that a job competes with exceeds its pool."""
    pool = state.pool_of(job_run)
    is_excess = state.standings.is_excess(pool, job_run.job.id)
    return (pool, is_excess) in state.pressed_pools


def _pressed_pools(state: SchedulerState, unix_ms: int) -> list[tuple[str, bool]]:
    cores: dict[str, float] = {}
    for upstream in state.upstreams.values():
        if upstream.is_usable():
            pool = upstream.entry.pool
            capacity = upstream.entry.capacity.cpu_millis / 1000
            cores[pool] = cores.get(pool, 0.0) + capacity
    # By pool, without (False) and with (True) the work of floods.
    wanted: dict[tuple[str, bool], float] = {}
    for job_run in list(state.jobs.values()):
        if job_run.state.is_final():
            continue
        pool = state.pool_of(job_run)
        if job_run.is_lasting:
            cores[pool] = cores.get(pool, 0.0) - job_run.lasting_cores()
            continue
        try:
            needed = _needed_cores(state, job_run, unix_ms)
        except Exception as error:
            state.set_apart(job_run.job.id, error)
            continue
        wanted[(pool, True)] = wanted.get((pool, True), 0.0) + needed
        if not state.standings.is_excess(pool, job_run.job.id):
            wanted[(pool, False)] = wanted.get((pool, False), 0.0) + needed
    return [
        (pool, with_floods)
        for (pool, with_floods), needed in wanted.items()
        if needed > USED_FRACTION * cores.get(pool, 0.0)
    ]


def _needed_cores(state: SchedulerState, job_run: JobRun, unix_ms: int) -> float:
    """Return the cores that a job needs to be in time, or 0.0 if it can't be."""
    due_ms = state.due_ms(job_run)
    if due_ms is None:
        return 0.0
    work = job_run.work(state.run_times)
    left_ms = due_ms - unix_ms
    if left_ms < work.remaining_path_ms:
        return 0.0
    left = job_run.unfinished_fraction() * work.remaining_core_seconds
    return left * 1000 / max(left_ms, MIN_HORIZON_MS)
