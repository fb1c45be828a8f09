"""Tell which pools cannot do all their work in time.

Load pattern: during its burst, a queue asks for four to five times its mean, which is
more than its pool holds. If they start in the order of their due times, most jobs are a
little late; those with less work go first instead.
"""

from ._state import SchedulerState

# Time between two measurements: each takes about a millisecond with 1,000 jobs.
MEASURING_INTERVAL_SECONDS = 0.1
# Part of a pool's cores that tasks of 1.5 to 13 cores use when it is full.
USED_FRACTION = 0.9
# Work that is due within less than this counts as due then: a single task that has to
# start now does not press a pool.
MIN_HORIZON_MS = 1000.0


def measure_pressure(state: SchedulerState, now: float, unix_ms: int) -> None:
    """Update the pools under pressure, if the last measurement is not recent."""
    if now - state.pressure_measured_at < MEASURING_INTERVAL_SECONDS:
        return
    state.pressure_measured_at = now
    state.pressed_pools = _pressed_pools(state, unix_ms)


def _pressed_pools(state: SchedulerState, unix_ms: int) -> frozenset[str]:
    cores: dict[str, float] = {}
    for upstream in state.upstreams.values():
        if upstream.is_usable():
            pool = upstream.entry.pool
            capacity = upstream.entry.capacity.cpu_millis / 1000
            cores[pool] = cores.get(pool, 0.0) + capacity
    work_by_pool: dict[str, list[tuple[float, float]]] = {}
    for job_run in state.jobs.values():
        if job_run.state.is_final():
            continue
        pool = state.pool_of(job_run)
        if pool not in cores:
            continue
        if job_run.is_lasting:
            cores[pool] -= job_run.lasting_cores()
            continue
        due_ms = state.due_ms(job_run)
        if due_ms is None:
            continue
        work = job_run.work(state.run_times)
        if due_ms - work.remaining_path_ms >= unix_ms:
            left = job_run.unstarted_fraction() * work.remaining_core_seconds
            work_by_pool.setdefault(pool, []).append((due_ms - unix_ms, left))
    return frozenset(
        pool for pool, work in work_by_pool.items() if _exceeds(work, cores[pool])
    )


def _exceeds(work: list[tuple[float, float]], cores: float) -> bool:
    """Return whether any prefix of the work by due time exceeds the capacity."""
    total = 0.0
    work.sort()
    for due_in_ms, core_seconds in work:
        total += core_seconds
        horizon_seconds = max(due_in_ms, MIN_HORIZON_MS) / 1000
        if total > USED_FRACTION * cores * horizon_seconds:
            return True
    return False
