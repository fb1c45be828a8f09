"""Sum up what a pool is asked for."""

from dataclasses import dataclass

from ._state import SchedulerState


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Hold a pool's cores and the declared work that arrived and waits."""

    # Of the upstreams that may be given work.
    cores: float
    # Of lasting tasks, running or not.
    lasting_cores: float
    # Core-seconds of tasks that could start now.
    waiting_core_seconds: float
    # Core-seconds of all jobs that ever arrived here.
    arrived_core_seconds: float


def sum_demand(state: SchedulerState) -> dict[str, PoolDemand]:
    """Return the demand on each pool that is not on standby."""
    pools = state.configuration.pools_by_name.values()
    names = [pool.name for pool in pools if not pool.is_standby]
    cores = dict.fromkeys(names, 0.0)
    lasting = dict.fromkeys(names, 0.0)
    waiting = dict.fromkeys(names, 0.0)
    for upstream in state.upstreams.values():
        if upstream.entry.pool in cores and upstream.is_usable():
            cores[upstream.entry.pool] += upstream.entry.capacity.cpu_millis / 1000
    for job_run in state.jobs.values():
        pool = state.pool_of(job_run)
        if job_run.state.is_final() or pool not in cores:
            continue
        for step_run in job_run.steps.values():
            step = step_run.step
            if step.is_lasting and not step.is_filler:
                lasting[pool] += step.count * step.needs.cpu_millis / 1000
        for step_run in job_run.startable_steps():
            step = step_run.step
            if not step.is_lasting:
                work = step.needs.cpu_millis * step.estimated_ms / 1e6
                waiting[pool] += len(step_run.waiting) * work
    return {
        name: PoolDemand(cores[name], lasting[name], waiting[name], state.arrived[name])
        for name in names
    }
