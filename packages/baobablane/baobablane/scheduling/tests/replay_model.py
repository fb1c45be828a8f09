"""Replay generated arrivals over the scheduler in virtual time."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest

from baobablane.deployment import (
    ClientAccount,
    Configuration,
    Pool,
    Resources,
    UpstreamEntry,
)
from baobablane.jobs import Job, Step
from baobablane.scheduling import EndReason, _planning
from baobablane.scheduling._account_standings import AccountStandings
from baobablane.scheduling._urgency import urgency_key
from baobablane.shares import weighted_max_min

from .fleet_model import CORE, ModelFleet, ModelUpstream, make_queue

# The owner plans within milliseconds of each arrival and end.
ROUND_SECONDS = 0.025
RENEWAL_SECONDS = 1.0
# The store's heartbeat time-out and the reads of a new owner.
TAKEOVER_SECONDS = 1.6
POOL = "pool"


def fifo_key(job_run, queue, unix_ms, standing, run_times, pressure):
    """Order jobs by acceptance."""
    return (1.0, 0.0, 0.0, 0.0, float(job_run.job.accepted_ms), 0.0)


def earliest_deadline_key(job_run, queue, unix_ms, standing, run_times, pressure):
    """Order jobs by the time at which they are due."""
    slack_ms = queue.slack_factor * job_run.work(run_times).critical_path_ms
    due_ms = job_run.job.accepted_ms + slack_ms
    return (1.0, 0.0, 0.0, 0.0, due_ms, 0.0)


def previous_key(job_run, queue, unix_ms, standing, run_times, pressure):
    """Order jobs without regard to the standing of their accounts."""
    return urgency_key(job_run, queue, unix_ms, 0.0, run_times, pressure)


ORDERS = {
    "shares": urgency_key,
    "fifo": fifo_key,
    "earliest deadline": earliest_deadline_key,
    "previous": previous_key,
}


@dataclass(frozen=True)
class Arrivals:
    """Describe generated arrivals; rates are in jobs a second."""

    rate_by_account: dict
    # Start, end and factor of the rates of some accounts.
    floods: tuple = ()
    flooding: frozenset = frozenset()
    # Start, end and factor of all rates.
    bursts: tuple = ()
    seconds: float = 20.0
    seed: int = 1

    def without_floods(self):
        """Return the same arrivals on a calm day."""
        return replace(self, floods=())

    def jobs(self, start):
        """Return the jobs in the order of acceptance; `start` is in seconds.

        Jobs of a flood come in addition to those of the calm day.
        """
        jobs = []
        for account, rate in self.rate_by_account.items():
            jobs += self._calm_jobs(account, rate, start)
            if account in self.flooding:
                for begin, end, factor in self.floods:
                    rng = random.Random(f"{self.seed}/{account}/flood")
                    times = _times(rng, rate * (factor - 1), begin, end)
                    jobs += [_make_job(rng, account, start + at) for at in times]
        return sorted(jobs, key=lambda job: job.accepted_ms)

    def _calm_jobs(self, account, rate, start):
        rng = random.Random(f"{self.seed}/{account}")
        jobs = [
            _make_job(rng, account, start + at)
            for at in _times(rng, rate, 0.0, self.seconds)
        ]
        for begin, end, factor in self.bursts:
            times = _times(rng, rate * (factor - 1), begin, end)
            jobs += [_make_job(rng, account, start + at) for at in times]
        return jobs


def _times(rng, rate, begin, end):
    times, at = [], begin + rng.expovariate(rate)
    while at < end:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def _make_job(rng, account, at):
    needs = Resources(round(rng.uniform(1.5, 5.0) * CORE), 100, 0)
    if rng.random() < 0.1:
        needs = Resources(round(rng.uniform(5.0, 13.0) * CORE), 100, 0)
    estimated_ms = round(rng.uniform(640, 1700))
    first = Step(8, needs, estimated_ms)
    steps = (first, Step(8, needs, estimated_ms, after=(0,)))
    steps = steps if rng.random() < 0.8 else (first,)
    name = f"{rng.getrandbits(64):016x}"
    return Job(name, "q", POOL, account, "spec", steps, round(at * 1000))


@dataclass
class Outcome:
    """Hold when each job first started and ended, and what accounts received."""

    first_start_by_job: dict = field(default_factory=dict)
    end_by_job: dict = field(default_factory=dict)
    jobs_by_id: dict = field(default_factory=dict)
    # For each second, the cores that each account ran and was entitled to, on average.
    received: list = field(default_factory=list)
    entitled: list = field(default_factory=list)

    def worst_second(self, accounts, begin, end):
        """Return the least received over entitled of the accounts in any second."""
        ratios = []
        for second in range(begin, end):
            received, entitled = self.received[second], self.entitled[second]
            total = sum(entitled[name] for name in accounts)
            if total:
                ratios.append(sum(received[name] for name in accounts) / total)
        return min(ratios)


def wait_p95(outcomes, accounts):
    """Return the 95th percentile of seconds from acceptance to first start."""
    return _percentile(
        outcomes, accounts, 0.95, lambda outcome: outcome.first_start_by_job
    )


def end_p90(outcomes, accounts):
    """Return the 90th percentile of seconds from acceptance to the end."""
    return _percentile(outcomes, accounts, 0.90, lambda outcome: outcome.end_by_job)


def _percentile(outcomes, accounts, fraction, times):
    values = sorted(
        times(outcome).get(job.id, float("inf")) - job.accepted_ms / 1000
        for outcome in outcomes
        for job in outcome.jobs_by_id.values()
        if job.account in accounts
    )
    return values[int(len(values) * fraction)]


class Replay(ModelFleet):
    """Run one pool with given arrivals, in rounds of a fixed length."""

    def __init__(self, arrivals, weights, upstreams=6, cores=64, caps=None):
        """Create upstreams on three racks; `weights` are in jobs a second."""
        accounts = {
            name: ClientAccount(
                name, (name,), weight, (caps or {}).get(name, Resources())
            )
            for name, weight in weights.items()
        }
        configuration = Configuration(
            1, {"q": make_queue(pool=POOL)}, {POOL: Pool(POOL)}, accounts, accounts
        )
        super().__init__(0, configuration=configuration)
        for number in range(upstreams):
            self._add_upstream(f"u{number}", f"r{number % 3}", cores)
        self.arrivals = arrivals
        self.start = self.now
        self.outcome = Outcome()
        self.progress_by_job = {}
        self._ends = []
        self._renewed_at = {}

    def _add_upstream(self, name, rack, cores):
        capacity = Resources(cores * CORE, 1_000_000, 0)
        entry = UpstreamEntry(
            name, POOL, "10.0.0.1:80", "zone", 1, capacity, frozenset({rack}), False
        )
        self.upstreams[name] = ModelUpstream(entry)
        self.scheduler.upstream_listed(entry, self.now)

    def run(self, takeover_at=None, down=None, extra_seconds=30.0):
        """Replay all arrivals, and return the outcome.

        The owner is killed at `takeover_at`; `down` is the time from and until which
        the upstreams of a rack take no starts, and the rack.
        """
        pending = self.arrivals.jobs(self.start)
        self.outcome.jobs_by_id = {job.id: job for job in pending}
        pending.reverse()
        end = self.start + self.arrivals.seconds + extra_seconds
        owner_lost_until = 0.0
        while self.now < end:
            at = self.now - self.start
            if down:
                self._set_draining(down[2], down[0] <= at < down[1])
            if takeover_at is not None and at >= takeover_at:
                takeover_at, owner_lost_until = None, self.now + TAKEOVER_SECONDS
                self.scheduler = None
            self._end_due_tasks()
            if self.scheduler is None and self.now >= owner_lost_until:
                self._take_over(pending)
            if self.scheduler is not None:
                self._run_round(pending)
            self._sample()
            self.now += ROUND_SECONDS
        return self.outcome

    def _run_round(self, pending):
        while pending and pending[-1].accepted_ms / 1000 <= self.now:
            self.scheduler.add_job(pending.pop(), None, self.now)
        for name, model in self.upstreams.items():
            renewed_at = self._renewed_at.get(name, 0.0)
            if model.ended or self.now - renewed_at >= RENEWAL_SECONDS:
                self._renewed_at[name] = self.now
                now, self.now = self.now, self.now - 0.011
                self.renew(name)
                self.now = now
        for order in self._plan_and_record():
            if self.send(order).name != "STARTED":
                continue
            job = self.outcome.jobs_by_id[order.task.job]
            self.outcome.first_start_by_job.setdefault(job.id, self.now)
            rng = random.Random(f"{order.task}")
            seconds = job.steps[order.task.step].estimated_ms / 1000
            heapq.heappush(
                self._ends, (self.now + seconds * rng.uniform(0.7, 1.4), order.task)
            )
        self.scheduler.remove_ended_jobs()

    def _plan_and_record(self):
        orders = self.scheduler.plan_starts(self.now, round(self.now * 1000))
        for job_id, progress in self.record().items():
            self.progress_by_job[job_id] = progress
            if progress.state.is_final():
                self.outcome.end_by_job.setdefault(job_id, self.now)
        return orders

    def _end_due_tasks(self):
        while self._ends and self._ends[0][0] <= self.now:
            self.finish(heapq.heappop(self._ends)[1], EndReason.DONE)

    def _take_over(self, pending):
        self.epoch += 1
        self.scheduler = self.make_scheduler()
        left = {job.id for job in pending}
        for job in sorted(
            self.outcome.jobs_by_id.values(), key=lambda job: job.accepted_ms
        ):
            progress = self.progress_by_job.get(job.id)
            if job.id in left:
                continue
            if progress is not None and progress.state.is_final():
                self.scheduler.note_past_job(job)
            else:
                self.scheduler.add_job(job, progress, self.now)
        self._renewed_at = {}

    def _set_draining(self, rack, is_draining):
        if self.scheduler is None:
            return
        for model in self.upstreams.values():
            if rack in model.entry.labels and model.entry.is_draining != is_draining:
                model.entry = replace(model.entry, is_draining=is_draining)
                self.scheduler.upstream_listed(model.entry, self.now)

    def _sample(self):
        """Count what each account runs, and its fair part of what all ask for."""
        second = int(self.now - self.start)
        while len(self.outcome.received) <= second:
            self.outcome.received.append(Counter())
            self.outcome.entitled.append(Counter())
        if self.scheduler is None:
            return
        state = self.scheduler.state
        demands = Counter()
        for upstream in state.upstreams.values():
            for run in upstream.runs.values():
                demands[run.account] += run.needs.cpu_millis / CORE
        self.outcome.received[second].update(demands)
        for job_run in state.jobs.values():
            for step in job_run.startable_steps():
                cores = len(step.waiting) * step.step.needs.cpu_millis / CORE
                demands[job_run.job.account] += cores
        capacity = sum(
            model.entry.capacity.cpu_millis / CORE
            for model in self.upstreams.values()
            if not model.entry.is_draining
        )
        weights = {
            name: account.weight
            for name, account in self.configuration.accounts_by_name.items()
        }
        self.outcome.entitled[second].update(
            weighted_max_min(capacity, demands, weights)
        )


def replay(arrivals, weights, order="shares", **options):
    """Return the outcome of a replay under one of the orders."""
    run_options = {
        name: options.pop(name) for name in ("takeover_at", "down") if name in options
    }
    model = Replay(arrivals, weights, **options)
    with pytest.MonkeyPatch.context() as patch:
        if order != "shares":
            patch.setattr(_planning, "urgency_key", ORDERS[order])
            patch.setattr(AccountStandings, "standing", lambda *_: 0.0)
            patch.setattr(AccountStandings, "is_excess", lambda *_: False)
        return model.run(**run_options)
