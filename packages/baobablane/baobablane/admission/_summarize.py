"""Summarize the load of all pools.

Load pattern: jobs arrive at several times the rate that their pool can serve, and most
of the waiting work belongs to few accounts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..deployment import Instance, InstanceState
from ..scheduling import USELESS_MULTIPLE, JobRun, Scheduler, objective_seconds
from ._account_load import AccountLoad
from ._drain_meter import DrainMeter
from ._pool_load import BACKLOG_SECONDS, PoolLoad


@dataclass(slots=True)
class _AccountSums:
    in_time: float = 0.0
    late: float = 0.0
    jobs: int = 0


@dataclass(slots=True)
class _PoolSums:
    cores: float = 0.0
    arriving_cores: float = 0.0
    free_cores: float = 0.0
    largest_room_cores: float = 0.0
    lasting_cores: float = 0.0
    running: float = 0.0
    waiting: float = 0.0
    accounts: dict[tuple[str, int], _AccountSums] = field(default_factory=dict)


def summarize_load(
    scheduler: Scheduler,
    instances: Iterable[Instance],
    meter: DrainMeter,
    now: float,
    unix_ms: int,
) -> dict[str, PoolLoad]:
    """Return the load of each pool that is not on standby.

    `instances` are as last listed. `now` is in seconds of the scheduler's clock.
    """
    state = scheduler.state
    pools = state.configuration.pools_by_name.values()
    sums = {pool.name: _PoolSums() for pool in pools if not pool.is_standby}
    for instance in instances:
        # A move takes 1.5 s, and the list shows the pool to which it goes.
        if instance.state is InstanceState.MOVING and instance.pool in sums:
            cores = instance.capacity.cpu_millis / 1000
            sums[instance.pool].arriving_cores += cores
    _add_upstreams(scheduler, sums, now)
    for job_run in state.jobs.values():
        pool = sums.get(state.pool_of(job_run))
        if pool is not None and not job_run.state.is_final():
            _add_job(scheduler, job_run, pool, unix_ms)
    loads: dict[str, PoolLoad] = {}
    for name, pool in sums.items():
        meter.observe(
            name,
            state.arrived_core_seconds[name],
            pool.running + pool.waiting,
            pool.waiting > BACKLOG_SECONDS * pool.cores,
            now,
        )
        loads[name] = _make_load(scheduler, name, pool, meter)
    return loads


def _make_load(
    scheduler: Scheduler, name: str, pool: _PoolSums, meter: DrainMeter
) -> PoolLoad:
    standings = scheduler.state.standings
    accounts = tuple(
        AccountLoad(
            account,
            priority,
            standings.standing(name, account),
            sums.in_time,
            sums.late,
            sums.jobs,
        )
        for (account, priority), sums in pool.accounts.items()
    )
    return PoolLoad(
        pool.cores,
        pool.arriving_cores,
        pool.free_cores,
        pool.largest_room_cores,
        pool.running,
        pool.waiting,
        meter.rate(name, max(0.0, pool.cores - pool.lasting_cores)),
        meter.drained(name),
        accounts,
    )


def _add_upstreams(
    scheduler: Scheduler, sums: dict[str, _PoolSums], now: float
) -> None:
    for upstream in scheduler.state.upstreams.values():
        pool = sums.get(upstream.entry.pool)
        if pool is None:
            continue
        for run in upstream.runs.values():
            cores = run.needs.cpu_millis / 1000
            if not run.is_lasting:
                left = max(0.0, run.declared_seconds - (now - run.started_at))
                pool.running += left * cores
            elif not run.is_filler and upstream.is_usable():
                pool.lasting_cores += cores
        if upstream.is_usable() and not scheduler.state.is_evacuated(upstream):
            room_cores = max(0, upstream.room().cpu_millis) / 1000
            pool.cores += upstream.entry.capacity.cpu_millis / 1000
            pool.free_cores += room_cores
            pool.largest_room_cores = max(pool.largest_room_cores, room_cores)


def _add_job(
    scheduler: Scheduler, job_run: JobRun, pool: _PoolSums, unix_ms: int
) -> None:
    waiting = sum(
        len(step_run.waiting)
        * step_run.step.needs.cpu_millis
        * step_run.step.estimated_ms
        / 1e6
        for step_run in job_run.steps.values()
        if not step_run.step.is_lasting
    )
    rules = scheduler.state.rules_of(job_run.job)
    if not waiting:
        return
    pool.waiting += waiting
    if rules is None:
        # It is placed after all others.
        return
    work = job_run.work(scheduler.state.run_times)
    objective = objective_seconds(rules, work.critical_path_ms)
    age_seconds = (unix_ms - job_run.latest_due_ms()) / 1000
    earliest_end = age_seconds + work.remaining_path_ms / 1000
    key = (job_run.job.account, rules.priority)
    account = pool.accounts.setdefault(key, _AccountSums())
    if earliest_end <= objective:
        account.in_time += waiting
    elif earliest_end <= USELESS_MULTIPLE * objective:
        account.late += waiting
    else:
        return
    account.jobs += 1
