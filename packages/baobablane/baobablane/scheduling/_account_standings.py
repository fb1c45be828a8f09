"""Tell how far each client account is beyond its share of a pool.

Load pattern: one or more accounts send up to twenty times their usual rate for several
seconds, on its own or in the burst of a pool. The jobs of all other accounts are served
as if the flood did not exist. Jobs within their account's rate come first; what they
leave of a full pool is divided among the others by weighted max-min fairness.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..deployment import ClientAccount
from ..jobs import Job
from ..shares import PoolDivision, divide_pool
from ._account_usage import AccountUsage
from ._excess_jobs import ExcessJobs
from ._job_run import JobRun
from ._upstream import Run, Upstream

# Rounds follow each other within milliseconds, and a pass over all jobs and runs in
# each would double their cost. A task runs for at least ten times this interval.
MIN_DIVISION_INTERVAL_SECONDS = 0.05
# Added to the standing of a job beyond its account's rate, so that it goes after every
# job within. Without this, an account took its part in the order of urgency, and in a
# replay the jobs of others waited up to 1.2 s while a flood held a quarter of the pool.
EXCESS_STANDING = 1e9
# A weight of 0 is allowed in configurations.
MIN_WEIGHT = 1e-3


class AccountStandings:
    """Hold the standing of each client account in each pool."""

    def __init__(self) -> None:
        """Start without jobs, when every account is within its share."""
        self._weights: dict[str, float] = {}
        self._excess_jobs = ExcessJobs()
        self._running_by_pool: dict[str, _PoolCores] = defaultdict(_PoolCores)
        self._waiting_by_pool: dict[str, _PoolCores] = defaultdict(_PoolCores)
        self._division_by_pool: dict[str, PoolDivision] = {}
        self._divided_at = float("-inf")

    def set_accounts(self, accounts_by_name: Mapping[str, ClientAccount]) -> None:
        """Apply the weights of the accounts in force."""
        self._weights = {
            name: max(MIN_WEIGHT, account.weight)
            for name, account in accounts_by_name.items()
        }
        self._excess_jobs.keep_only(accounts_by_name)

    def record_arrival(self, job: Job) -> None:
        """Count an accepted job against its account's rate, by its time of acceptance.

        Long-running and periodic jobs are not counted, since their number says nothing
        about their load.
        """
        weight = self._weights.get(job.account)
        if weight is None or job.is_lasting() or job.is_periodic():
            return
        self._excess_jobs.record_arrival(job, weight)

    def remove_job(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._excess_jobs.remove_job(job_id)

    def add_run(self, run: Run, pool: str) -> None:
        """Add the cores of a run."""
        self._count_run(run, pool, run.needs.cpu_millis / 1000)

    def remove_run(self, run: Run, pool: str) -> None:
        """Subtract the cores of a run."""
        self._count_run(run, pool, -run.needs.cpu_millis / 1000)

    def counted_cores(self) -> dict[str, float]:
        """Return the cores that are counted for all short runs, by account.

        Unlike `running_cores`, it shows what is wrong with the counts.
        """
        totals: dict[str, float] = defaultdict(float)
        for pool in self._running_by_pool.values():
            for cores_by_account in (pool.entitled, pool.excess):
                for account, cores in cores_by_account.items():
                    totals[account] += cores
        return totals

    def observe(
        self,
        jobs: Iterable[JobRun],
        upstreams: Iterable[Upstream],
        pool_of: Callable[[JobRun], str],
        usage: AccountUsage,
        now: float,
        unix_ms: int,
    ) -> None:
        """Divide all pools anew, unless that was done a moment ago."""
        if now - self._divided_at < MIN_DIVISION_INTERVAL_SECONDS:
            return
        self._divided_at = now
        capacity_by_pool = self._count_running(upstreams)
        self._count_waiting(jobs, pool_of, usage, unix_ms)
        self._division_by_pool = {
            pool: self._divide(pool, capacity)
            for pool, capacity in capacity_by_pool.items()
            if pool in self._waiting_by_pool
        }

    def standing(
        self, pool: str, account: str, job_id: str = "", has_begun: bool = False
    ) -> float:
        """Return 0.0 for an account within its share, and more the further beyond.

        With a job, only the account's other work within or beyond its rate counts,
        whichever the job belongs to, and `EXCESS_STANDING` is added to the latter. A
        job within the rate that has begun keeps 0.0: overtaken, it would end late.
        """
        division = self._division_by_pool.get(pool)
        if division is None or not division.is_full():
            return 0.0
        running = self._running_by_pool[pool]
        if job_id and job_id not in self._excess_jobs:
            if has_begun:
                return 0.0
            return division.entitled_standing(
                account, running.entitled.get(account, 0.0)
            )
        standing = division.standing(account, running.excess.get(account, 0.0))
        return standing + (EXCESS_STANDING if job_id else 0.0)

    def is_excess(self, pool: str, job_id: str) -> bool:
        """Return whether a job in a full pool arrived beyond its account's rate."""
        division = self._division_by_pool.get(pool)
        return (
            division is not None and division.is_full() and job_id in self._excess_jobs
        )

    def is_beyond_share(self, pool: str, account: str) -> bool:
        """Return whether an account floods a full pool.

        It then has more jobs beyond its entitled rate than its part of the pool allows.
        """
        division = self._division_by_pool.get(pool)
        return division is not None and division.has_unmet_demand(account)

    def running_cores(self) -> dict[str, float]:
        """Return the cores of all short runs by account."""
        return _sum_by_account(self._running_by_pool.values())

    def waiting_cores(self) -> dict[str, float]:
        """Return the cores of all short tasks that can start, by account."""
        return _sum_by_account(self._waiting_by_pool.values())

    def _count_run(self, run: Run, pool: str, cores: float) -> None:
        if run.is_lasting or run.is_filler:
            return
        self._running_by_pool[pool].add(
            run.account, cores, run.task.job in self._excess_jobs
        )

    def _count_running(self, upstreams: Iterable[Upstream]) -> dict[str, float]:
        """Count all runs anew, and return the cores of each pool for short runs.

        An upstream's entry, and with it the pool, may arrive after its runs are known.
        """
        self._running_by_pool = defaultdict(_PoolCores)
        capacity_by_pool: dict[str, float] = defaultdict(float)
        for upstream in upstreams:
            pool, used = upstream.entry.pool, upstream.used.cpu_millis
            cores = upstream.entry.capacity.cpu_millis if upstream.is_usable() else used
            for run in upstream.runs.values():
                self._count_run(run, pool, run.needs.cpu_millis / 1000)
                if run.is_lasting and not run.is_filler:
                    cores -= run.needs.cpu_millis
            capacity_by_pool[pool] += max(0, cores) / 1000
        return capacity_by_pool

    def _count_waiting(
        self,
        jobs: Iterable[JobRun],
        pool_of: Callable[[JobRun], str],
        usage: AccountUsage,
        unix_ms: int,
    ) -> None:
        self._waiting_by_pool = defaultdict(_PoolCores)
        for job_run in jobs:
            if job_run.state.is_final():
                continue
            try:
                # A job that has just arrived has no steps yet.
                job_run.open_due_occurrences(unix_ms)
                cores = _startable_cores(job_run, usage)
            except Exception:
                # The planner meets the same error and sets the job apart.
                continue
            if cores:
                job = job_run.job
                self._waiting_by_pool[pool_of(job_run)].add(
                    job.account, cores, job.id in self._excess_jobs
                )
        for waiting in self._waiting_by_pool.values():
            waiting.limit(usage.cores_left)

    def _divide(self, pool: str, capacity: float) -> PoolDivision:
        running, waiting = self._running_by_pool[pool], self._waiting_by_pool[pool]
        entitled = _add_cores(running.entitled, waiting.entitled)
        excess = _add_cores(running.excess, waiting.excess)
        # Jobs of public queues and of removed accounts have no weight, and a standing
        # of 0.0.
        for cores_by_account in (entitled, excess):
            for account in cores_by_account.keys() - self._weights.keys():
                capacity -= cores_by_account.pop(account)
        return divide_pool(max(0.0, capacity), entitled, excess, self._weights)


@dataclass(slots=True)
class _PoolCores:
    """Hold cores by account, of jobs within and beyond their accounts' rates."""

    entitled: dict[str, float] = field(default_factory=dict)
    excess: dict[str, float] = field(default_factory=dict)

    def add(self, account: str, cores: float, is_excess: bool) -> None:
        """Add cores of an account; a negative number subtracts."""
        cores_by_account = self.excess if is_excess else self.entitled
        cores_by_account[account] = cores_by_account.get(account, 0.0) + cores

    def limit(self, max_cores: Callable[[str], float]) -> None:
        """Limit the cores of each account, first those within its rate."""
        for account, cores in self.entitled.items():
            self.entitled[account] = min(cores, max_cores(account))
        for account, cores in self.excess.items():
            left = max_cores(account) - self.entitled.get(account, 0.0)
            self.excess[account] = min(cores, left)


def _startable_cores(job_run: JobRun, usage: AccountUsage) -> float:
    """Return the cores of the short tasks that only wait for room."""
    account = job_run.job.account
    return sum(
        len(step_run.waiting) * step_run.step.needs.cpu_millis / 1000
        for step_run in job_run.startable_steps()
        if not step_run.step.is_lasting
        and not step_run.step.is_filler
        and usage.allows(account, step_run.step.needs)
    )


def _add_cores(
    first: Mapping[str, float], second: Mapping[str, float]
) -> dict[str, float]:
    accounts = first.keys() | second.keys()
    return {a: max(0.0, first.get(a, 0.0) + second.get(a, 0.0)) for a in accounts}


def _sum_by_account(pools: Iterable[_PoolCores]) -> dict[str, float]:
    totals: dict[str, float] = {}
    for pool in pools:
        totals = _add_cores(totals, _add_cores(pool.entitled, pool.excess))
    return {account: cores for account, cores in totals.items() if account and cores}
