"""Tell how far each client account is beyond its share of a pool.

Load pattern: one or more accounts send up to twenty times their usual rate for several
seconds, on its own or in the burst of a pool. The jobs of all other accounts are served
as if the flood did not exist; the flood gets its weighted max-min fair part and what
nobody else asks for.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

from ..deployment import ClientAccount
from ..jobs import Job
from ..shares import ArrivalMeter, PoolDivision, divide_pool
from ._account_usage import AccountUsage
from ._job_run import JobRun
from ._upstream import Run, Upstream

# Rounds follow each other within milliseconds, and a pass over all jobs and runs in
# each would double their cost. A task runs for at least ten times this interval.
MIN_DIVISION_INTERVAL_SECONDS = 0.05
# A weight of 0 is allowed in configurations.
MIN_WEIGHT = 1e-3

CoresByAccount = defaultdict[str, float]


class AccountStandings:
    """Hold the standing of each client account in each pool."""

    def __init__(self) -> None:
        """Start without jobs, when every account is within its share."""
        self._weights: dict[str, float] = {}
        self._meter = ArrivalMeter()
        # Accounts of the jobs that arrived beyond the entitled rate of their account.
        self._excess_jobs: dict[str, str] = {}
        self._excess_job_counts: Counter[str] = Counter()
        self._running_by_pool: dict[str, CoresByAccount] = {}
        self._waiting_by_pool: dict[str, CoresByAccount] = {}
        self._division_by_pool: dict[str, PoolDivision] = {}
        self._divided_at = float("-inf")

    def set_accounts(self, accounts_by_name: Mapping[str, ClientAccount]) -> None:
        """Apply the weights of the accounts in force."""
        self._weights = {
            name: max(MIN_WEIGHT, account.weight)
            for name, account in accounts_by_name.items()
        }
        self._meter.keep_only(accounts_by_name)

    def record_arrival(self, job: Job) -> None:
        """Count an accepted job against its account's rate, by its time of acceptance.

        Long-running and periodic jobs are not counted, since their number says nothing
        about their load.
        """
        weight = self._weights.get(job.account)
        if weight is None or job.is_lasting() or job.is_periodic():
            return
        if not self._meter.is_within_rate(job.account, weight, job.accepted_ms / 1000):
            self._excess_jobs[job.id] = job.account
            self._excess_job_counts[job.account] += 1

    def remove_job(self, job_id: str) -> None:
        """Forget a job that has ended."""
        account = self._excess_jobs.pop(job_id, None)
        if account is not None:
            self._excess_job_counts[account] -= 1

    def add_run(self, run: Run, pool: str) -> None:
        """Add the cores of a run."""
        if _is_shared(run):
            self._running(pool)[run.account] += run.needs.cpu_millis / 1000

    def remove_run(self, run: Run, pool: str) -> None:
        """Subtract the cores of a run."""
        if _is_shared(run):
            self._running(pool)[run.account] -= run.needs.cpu_millis / 1000

    def observe(
        self,
        jobs: Iterable[JobRun],
        upstreams: Iterable[Upstream],
        pool_of: Callable[[JobRun], str],
        usage: AccountUsage,
        now: float,
    ) -> None:
        """Divide all pools anew, unless that was done a moment ago."""
        if now - self._divided_at < MIN_DIVISION_INTERVAL_SECONDS:
            return
        self._divided_at = now
        capacity_by_pool = self._count_running(upstreams)
        self._count_waiting(jobs, pool_of, usage)
        self._division_by_pool = {
            pool: self._divide(pool, capacity)
            for pool, capacity in capacity_by_pool.items()
            if self._waiting_by_pool.get(pool)
        }

    def standing(self, pool: str, account: str, job_id: str = "") -> float:
        """Return 0.0 for an account within its share, and more the further beyond.

        With a job, also return 0.0 if it arrived within the account's entitled rate.
        """
        division = self._division_by_pool.get(pool)
        if division is None:
            return 0.0
        if job_id not in self._excess_jobs if job_id else not self._has_excess(account):
            return 0.0
        return division.excess(account, self._running(pool)[account])

    def is_beyond_share(self, pool: str, account: str) -> bool:
        """Return whether an account floods a pool that is full.

        It then has jobs beyond its entitled rate, and runs and waits for more than its
        part of the pool.
        """
        division = self._division_by_pool.get(pool)
        return (
            division is not None
            and self._has_excess(account)
            and division.has_unmet_demand(account)
        )

    def running_cores(self) -> dict[str, float]:
        """Return the cores of all short runs by account."""
        return _sum_by_account(self._running_by_pool.values())

    def waiting_cores(self) -> dict[str, float]:
        """Return the cores of all short tasks that can start, by account."""
        return _sum_by_account(self._waiting_by_pool.values())

    def _has_excess(self, account: str) -> bool:
        return self._excess_job_counts[account] > 0

    def _running(self, pool: str) -> CoresByAccount:
        return self._running_by_pool.setdefault(pool, defaultdict(float))

    def _count_running(self, upstreams: Iterable[Upstream]) -> dict[str, float]:
        """Count all runs anew, and return the cores left for shares by pool.

        An upstream's entry, and with it the pool, may arrive after its runs are known.
        """
        self._running_by_pool = {}
        capacity_by_pool: dict[str, float] = defaultdict(float)
        for upstream in upstreams:
            running = self._running(upstream.entry.pool)
            used = upstream.used.cpu_millis
            cores = upstream.entry.capacity.cpu_millis if upstream.is_usable() else used
            for run in upstream.runs.values():
                if _is_shared(run):
                    running[run.account] += run.needs.cpu_millis / 1000
                if not run.is_filler and not self._takes_part(run):
                    cores -= run.needs.cpu_millis
            capacity_by_pool[upstream.entry.pool] += max(0, cores) / 1000
        return capacity_by_pool

    def _takes_part(self, run: Run) -> bool:
        return _is_shared(run) and run.account in self._weights

    def _count_waiting(
        self,
        jobs: Iterable[JobRun],
        pool_of: Callable[[JobRun], str],
        usage: AccountUsage,
    ) -> None:
        self._waiting_by_pool = {}
        for job_run in jobs:
            if job_run.state.is_final():
                continue
            try:
                cores = _startable_cores(job_run, usage)
            except Exception:
                # The planner meets the same error and sets the job apart.
                continue
            if cores:
                waiting = self._waiting_by_pool.setdefault(
                    pool_of(job_run), defaultdict(float)
                )
                waiting[job_run.job.account] += cores
        for waiting in self._waiting_by_pool.values():
            for account, cores in waiting.items():
                waiting[account] = min(cores, usage.cores_left(account))

    def _divide(self, pool: str, capacity: float) -> PoolDivision:
        running, waiting = self._running(pool), self._waiting_by_pool[pool]
        demands = {
            account: max(0.0, running.get(account, 0.0)) + waiting.get(account, 0.0)
            for account in running.keys() | waiting.keys()
            if account in self._weights
        }
        return divide_pool(capacity, demands, self._weights)


def _is_shared(run: Run) -> bool:
    return not run.is_lasting and not run.is_filler


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


def _sum_by_account(pools: Iterable[CoresByAccount]) -> dict[str, float]:
    cores_by_account: dict[str, float] = defaultdict(float)
    for running in pools:
        for account, cores in running.items():
            if account and cores > 0:
                cores_by_account[account] += cores
    return dict(cores_by_account)
