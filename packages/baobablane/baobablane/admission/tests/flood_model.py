"""Replay a flood by one account through the scheduler, in virtual time."""

import random
from dataclasses import dataclass, field

from baobablane.admission import (
    DrainMeter,
    LoadSummary,
    RejectionAudit,
    decide_rejection,
    decode_load,
    describe_demand,
    encode_load,
    summarize_load,
)
from baobablane.deployment import ClientAccount, Configuration, Pool, Resources
from baobablane.jobs import Job, JobState, Step
from baobablane.scheduling._account_standings import AccountStandings
from baobablane.scheduling.tests.fleet_model import CORE, ModelFleet, make_queue

STEP_SECONDS = 0.1
PUBLICATION_STEPS = 5
FLOOD_ACCOUNT = "flood"
MAX_SENDS = 5


class FloodStandings(AccountStandings):
    """Put one account beyond its share in every pool."""

    def standing(self, pool, account, job_id="", has_begun=False):
        """Return 1.0 for the flooding account."""
        return 1.0 if account == FLOOD_ACCOUNT else 0.0

    def is_excess(self, pool, job_id):
        """Treat no job alone as beyond its account's rate."""
        return False


def make_arrivals(seed, flood_rate, calm_rate=2.0, seconds=25.0, flood=(3.0, 11.0)):
    """Return (time, job) pairs; declared times are wrong by up to a factor of two."""
    generator = random.Random(seed)
    arrivals = []
    for account, rate, (begin, end) in (
        ("calm", calm_rate, (0.0, seconds)),
        (FLOOD_ACCOUNT, flood_rate, flood),
    ):
        at = begin + generator.expovariate(rate)
        while at < end:
            needs = Resources(generator.choice((1_000, 1_500, 2_500)))
            steps = (Step(4, needs, generator.randint(640, 1700)),)
            if generator.random() < 0.8:
                steps += (Step(4, needs, generator.randint(640, 1700), (0,)),)
            name = f"{len(arrivals):016x}"
            arrivals.append((at, Job(name, "q", "pool", account, "", steps, 0)))
            at += generator.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival[0])


@dataclass
class Result:
    """Hold what became of the jobs of a replay."""

    # Seconds from the first sending of each job that was done.
    seconds_by_id: dict = field(default_factory=dict)
    objective_by_id: dict = field(default_factory=dict)
    # Rejections by job, in the order of its sendings.
    rejections_by_id: dict = field(default_factory=dict)
    accepted_ids: set = field(default_factory=set)
    verdicts: list = field(default_factory=list)

    def multiple(self, job_id):
        """Return a job's time as a multiple of its objective."""
        seconds = self.seconds_by_id.get(job_id, float("inf"))
        return seconds / self.objective_by_id[job_id]


class FloodReplay:
    """Send jobs to a pool of 64 cores, and reject by the published load."""

    def __init__(self, arrivals, rejects=True, always_accepted=frozenset()):
        """Start without jobs; `always_accepted` holds ids that are not rejected."""
        accounts = {n: ClientAccount(n, (n,)) for n in ("calm", FLOOD_ACCOUNT)}
        queue = make_queue()
        configuration = Configuration(
            1, {"q": queue}, {"pool": Pool("pool")}, accounts, dict(accounts)
        )
        self.queue = queue
        self.fleet = ModelFleet(4, 16 * CORE, configuration)
        self.fleet.scheduler.state.standings = FloodStandings()
        self.fleet.renew_all()
        self.started_at = self.fleet.now
        self.pending = [(at, at, job) for at, job in arrivals]
        self.rejects, self.always_accepted = rejects, always_accepted
        self.meter = DrainMeter()
        self.summary = None
        self.audit = RejectionAudit()
        self.ends_at = {}
        self.sent_at = {}
        self.result = Result()

    def run(self, seconds=60.0):
        """Replay until all jobs are done or `seconds` have passed."""
        step = 0
        while step * STEP_SECONDS < seconds and (
            self.pending or self.fleet.scheduler.state.jobs
        ):
            step += 1
            now = step * STEP_SECONDS
            self.fleet.now = self.started_at + now
            self._receive(now)
            self._advance(now)
            if step % PUBLICATION_STEPS == 0:
                self._publish(now)
        return self.result

    def _receive(self, now):
        due = [row for row in self.pending if row[0] <= now]
        self.pending = [row for row in self.pending if row[0] > now]
        for _, first_at, job in due:
            demand = describe_demand(job, self.queue)
            self.result.objective_by_id[job.id] = demand.objective_seconds
            rejection = None
            if self.rejects and job.id not in self.always_accepted:
                age = now - self.summary.at_ms / 1000 if self.summary else 0.0
                rejection = decide_rejection(demand, self.summary, age)
            if rejection:
                earlier = self.result.rejections_by_id.setdefault(job.id, [])
                earlier.append(rejection)
                self.audit.add(rejection, now)
                if len(earlier) < MAX_SENDS:
                    back_at = now + rejection.retry_after_seconds
                    self.pending.append((back_at, first_at, job))
                continue
            self.result.accepted_ids.add(job.id)
            self.sent_at[job.id] = first_at
            accepted_ms = round(self.fleet.now * 1000)
            fields = (job.id, job.queue, job.pool, job.account, job.spec, job.steps)
            self.fleet.scheduler.add_job(
                Job(*fields, accepted_ms=accepted_ms), None, self.fleet.now
            )

    def _advance(self, now):
        fleet = self.fleet
        for task, at in list(self.ends_at.items()):
            if at <= now:
                fleet.finish(task)
                del self.ends_at[task]
        at = fleet.now
        fleet.renew_all()
        fleet.now = at + STEP_SECONDS / 2
        fleet.record()
        for job_id in fleet.scheduler.state.final_jobs:
            job_run = fleet.scheduler.state.jobs.get(job_id)
            if job_run is not None and job_run.state is JobState.COMPLETED:
                self.result.seconds_by_id[job_id] = now - self.sent_at[job_id]
        fleet.scheduler.remove_ended_jobs()
        for order in fleet.place():
            job = fleet.scheduler.state.jobs[order.task.job].job
            declared = job.steps[order.task.step].estimated_ms / 1000
            generator = random.Random(f"{order.task}")
            self.ends_at[order.task] = now + declared * generator.uniform(0.5, 1.5)

    def _publish(self, now):
        loads = summarize_load(
            self.fleet.scheduler,
            (),
            self.meter,
            self.fleet.now,
            round(self.fleet.now * 1000),
        )
        self.summary = decode_load(
            encode_load(
                LoadSummary(
                    round(now * 1000),
                    round(now * 1000),
                    {n: load for n, load in loads.items() if load.is_backlogged()},
                )
            )
        )
        self.result.verdicts += self.audit.settle(self.summary, 0.0, now)
