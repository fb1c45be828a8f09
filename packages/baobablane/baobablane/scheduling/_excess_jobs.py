"""Tell which jobs an account sends beyond its entitled rate in a flood.

Load pattern: one account sends five to twenty times its usual rate for 5 to 8 s. In the
burst of a pool without any flood, accounts send up to twice their usual rate.
"""

from collections.abc import Mapping

from ..jobs import Job
from ..shares import ArrivalMeter

# Multiple of its entitled rate beyond which an account floods. Below it, putting an
# account's jobs after all others and keeping upstreams free of them made more jobs late
# in replays of a burst than the order of urgency did.
FLOOD_FACTOR = 2.0


class ExcessJobs:
    """Hold the jobs beyond their accounts' rates, of the accounts that flood.

    A flood lasts until the account's arrivals leave it half of its allowance.
    """

    def __init__(self) -> None:
        """Start without jobs, when no account floods."""
        self._meter = ArrivalMeter()
        self._flood_meter = ArrivalMeter()
        self._flooding: set[str] = set()
        # Accounts of the unfinished jobs that arrived beyond their account's rate.
        self._beyond: dict[str, str] = {}
        # Those of them that arrived in a flood, or shortly before it was found.
        self._excess: set[str] = set()

    def keep_only(self, accounts: Mapping[str, object]) -> None:
        """Forget the rates of accounts that are no longer configured."""
        self._meter.keep_only(accounts)
        self._flood_meter.keep_only(accounts)
        self._flooding &= accounts.keys()

    def record_arrival(self, job: Job, weight: float) -> None:
        """Count a job against its account's rate, by its time of acceptance."""
        account, at = job.account, job.accepted_ms / 1000
        if self._meter.has_half_allowance(account, weight, at):
            self._flooding.discard(account)
        if not self._meter.is_within_rate(account, weight, at):
            self._beyond[job.id] = account
            if account in self._flooding:
                self._excess.add(job.id)
        if not self._flood_meter.is_within_rate(account, FLOOD_FACTOR * weight, at):
            self._begin_flood(account)

    def remove_job(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._beyond.pop(job_id, None)
        self._excess.discard(job_id)

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job is beyond its account's rate in a flood."""
        return job_id in self._excess

    def _begin_flood(self, account: str) -> None:
        if account not in self._flooding:
            self._flooding.add(account)
            self._excess.update(
                job_id for job_id, other in self._beyond.items() if other == account
            )
