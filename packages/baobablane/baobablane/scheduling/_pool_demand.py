"""Sum the demand on each pool."""

from dataclasses import dataclass

from ._job_run import JobRun
from ._state import SchedulerState
from ._trial_limits import wanted_trials
from ._urgency import USELESS_MULTIPLE, objective_seconds

# More cores do not speed up work that is due within less than this.
MIN_DEADLINE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Hold a pool's cores, and its declared work: what is due, and what has arrived."""

    # Cores of the usable upstreams outside evacuated zones.
    cores: float
    # Cores of all long-running tasks, started or not.
    lasting_cores: float
    # Cores needed to finish all jobs in time, or late ones while their results are of
    # use.
    due_cores: float
    # Declared core-seconds of all jobs that the scheduler ever got for the pool, with
    # one occurrence of each job.
    arrived_core_seconds: float
    # Sum of the squares of those jobs' core-seconds, which tells how much the rate at
    # which work arrives varies by chance.
    arrived_squares: float = 0.0
    # Cores of the instances on which suspects can be tried at the same time.
    trial_cores: float = 0.0


def sum_demand(state: SchedulerState, unix_ms: int) -> dict[str, PoolDemand]:
    """Return the demand on each pool that is not on standby."""
    pools = state.configuration.pools_by_name.values()
    names = [pool.name for pool in pools if not pool.is_standby]
    cores = dict.fromkeys(names, 0.0)
    lasting = dict.fromkeys(names, 0.0)
    due = dict.fromkeys(names, 0.0)
    trials = wanted_trials(state)
    largest = dict.fromkeys(names, 0.0)
    suspected_jobs = {task.job for task in state.suspects.held_until}
    for upstream in state.upstreams.values():
        if (
            upstream.entry.pool in cores
            and upstream.is_usable()
            and not state.is_evacuated(upstream)
        ):
            upstream_cores = upstream.entry.capacity.cpu_millis / 1000
            cores[upstream.entry.pool] += upstream_cores
            largest[upstream.entry.pool] = max(
                largest[upstream.entry.pool], upstream_cores
            )
    for job_run in state.jobs.values():
        pool = state.pool_of(job_run)
        if job_run.state.is_final() or pool not in cores:
            continue
        lasting[pool] += job_run.lasting_cores()
        # A job with suspects waits for trials, and more cores do not speed them up.
        if job_run.job.id not in suspected_jobs:
            due[pool] += _due_cores(state, job_run, unix_ms)
    return {
        name: PoolDemand(
            cores[name],
            lasting[name],
            due[name],
            state.arrived_core_seconds[name],
            state.arrived_squares[name],
            trials.get(name, 0) * largest[name],
        )
        for name in names
    }


def _due_cores(state: SchedulerState, job_run: JobRun, unix_ms: int) -> float:
    rules = state.rules_of(job_run.job)
    if rules is None:
        return 0.0
    work = job_run.work(state.run_times)
    objective = objective_seconds(rules, work.critical_path_ms)
    seconds_left = job_run.latest_due_ms() / 1000 + objective - unix_ms / 1000
    critical_path_seconds = work.remaining_path_ms / 1000
    if seconds_left < critical_path_seconds / 2:
        # After an outage, all waiting work is late. If it did not count, a pool would
        # give up its instances while jobs wait for them.
        seconds_left += (USELESS_MULTIPLE - 1.0) * objective
    if seconds_left < critical_path_seconds / 2:
        # The result comes too late to be of use, and the job uses what others leave.
        return 0.0
    return work.remaining_core_seconds / max(
        seconds_left, critical_path_seconds, MIN_DEADLINE_SECONDS
    )
