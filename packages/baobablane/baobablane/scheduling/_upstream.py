"""Track the runs, free resources and reachability of an upstream."""

from dataclasses import dataclass, field

from ..deployment import NO_RESOURCES, Resources, UpstreamEntry
from ..errors import DuplicateRunError
from ..jobs import TaskId
from ._inherited_lease import InheritedLease
from ._kept_room import KeptRoom
from ._lease_tracker import LeaseTracker
from ._policy import SchedulingPolicy

# An upstream responds to a start within about 20 ms. One that takes longer than this
# may be unreachable, and gets no more starts until the outcome is known.
OVERDUE_START_SECONDS = 0.25

# A run has settled once its upstream responds this long after its start: what crashes
# an upstream by its start does so within milliseconds.
SETTLING_SECONDS = 0.25

# An upstream that responded within this time is taken to be up. If it was asked for the
# sake of a trial, the owner's round may take longer than that to use the response.
MAX_CONTACT_AGE_SECONDS = 0.1
MAX_ANSWER_AGE_SECONDS = 2.0


@dataclass(slots=True)
class Run:
    """Describe one run that an upstream may be executing."""

    task: TaskId
    number: int
    needs: Resources
    account: str
    is_lasting: bool
    is_filler: bool
    started_at: float
    declared_seconds: float = 0.0
    # When the run was confirmed: its start succeeded, its stop was acknowledged, a
    # report listed it, or its record was read at a takeover. If a report requested
    # later omits it, it has ended. None until confirmed.
    confirmed_at: float | None = None
    # This owner has seen it start or run.
    was_seen: bool = False
    # When the outcome of its start became unknown, for lack of a response.
    unknown_since: float | None = None
    # The upstream does not run it, but its start may still arrive; a stop rules that
    # out.
    needs_stop: bool = False
    # The lease deadline of its start, in ms of the upstream's clock, after which the
    # start is rejected; None if it was not sent by this owner to this incarnation.
    start_deadline_ms: int | None = None
    # Progress as last reported; -1 before the first report.
    percent: int = -1
    percent_changed_at: float = 0.0
    # As last reported: tail latency of a serving task; CPU use of other tasks.
    tail_ms_or_cpu_millis: int = 0
    # Limit on the tail latency of a serving task, in ms; 0 for other tasks.
    target_ms: int = 0
    # The last ordered pace, and when it was ordered.
    pace_percent: int = 100
    pace_changed_at: float = 0.0
    stop_sent_at: float | None = None
    is_stalled: bool = False
    # It is to be stopped so that its task can start elsewhere.
    is_evicted: bool = False
    # Its task is suspected of crashing upstreams; nothing starts beside it until it has
    # settled.
    is_trial: bool = False
    # An earlier owner started it.
    is_restored: bool = False
    # When it was started, as recorded, in Unix milliseconds; 0 if that is unknown.
    start_ms: int = 0
    # It had settled under an earlier owner.
    had_settled: bool = False
    # Its start was meant for an earlier incarnation, with a deadline of that clock.
    is_of_earlier_incarnation: bool = False


@dataclass(slots=True)
class Upstream:
    """Track an upstream's resources and runs, and whether it can take new work."""

    entry: UpstreamEntry
    added_at: float
    runs: dict[TaskId, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    lease: LeaseTracker | None = None
    # Of this incarnation, as recorded by earlier owners that did not reach it.
    inherited_lease: InheritedLease | None = None
    # From when on its unknown leases count: it may have been found some time after the
    # takeover began.
    owned_since: float = field(init=False)
    # This owner reached the incarnation before, so no earlier one granted leases here.
    began_after_contact: bool = False
    # Whether leases may be granted. Not as long as the next owner might read that
    # there are none.
    may_grant_lease: bool = True
    # Until when it may hold a lease of which the deadline is by an earlier clock.
    earlier_lease_until: float = float("-inf")
    # Number of the last end that was applied, and of the last one that is recorded.
    applied_end: int = 0
    recorded_end: int = 0
    # Its latest report may lack ends, so it does not show which runs are lost.
    has_hidden_ends: bool = False
    is_listed: bool = True
    # No new work, because its instance is about to be moved or is due for maintenance.
    is_cordoned: bool = False
    # When starts may be sent again after a rejected one.
    no_starts_until: float = 0.0
    # Whether it responded to the latest call.
    is_reachable: bool = False
    # When it was first found unreachable; checked once per scheduling round.
    unreachable_since: float | None = None
    # When it last responded.
    last_seen_at: float = float("-inf")
    # When it was last asked only to see whether its runs have settled.
    checked_at: float = float("-inf")
    # When the latest list was requested that shows its instance as down.
    listed_down_at: float = float("-inf")
    # An order for its instance was sent, which ends it.
    has_order: bool = False
    # It gets no starts but a trial, as soon as its runs have settled.
    is_reserved: bool = False
    # Room that is kept on it in this round, and in the round before.
    kept: KeptRoom | None = None
    kept_before: KeptRoom | None = None
    # When it was chosen for a trial, which begins once it has responded after that.
    trial_wanted_at: float | None = None
    # It gets more starts as soon as its runs have settled.
    is_limited: bool = False
    # The largest number of cores with which this incarnation was listed.
    most_cpu_millis: int = 0
    # It is filled last, because it is slow or has lost capacity.
    is_last_choice: bool = False
    # Whether any of its runs may have to be stopped. To check all runs in each round
    # takes longer than all else.
    may_need_stops: bool = True
    # Numbers of the runs that it reports unexpectedly, by task; they are stopped.
    orphan_runs: dict[TaskId, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Count unknown leases from the time at which it was found."""
        self.owned_since = self.added_at

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.entry.id

    def is_usable(self) -> bool:
        """Return whether the upstream is listed, reachable and open for new work."""
        return (
            self.is_listed
            and self.is_reachable
            and not self.is_probably_down()
            and not self.entry.is_draining
            and not self.is_cordoned
        )

    def is_probably_down(self) -> bool:
        """Return whether its instance is listed as down since it last responded."""
        return self.listed_down_at > self.last_seen_at

    def accepts(self, now: float) -> bool:
        """Return whether new work may be placed on the upstream now."""
        return (
            self.is_usable()
            and self.may_grant_lease
            and now >= self.no_starts_until
            and not self._has_overdue_start(now)
            and not self.has_trial()
        )

    def is_settled(self, run: Run) -> bool:
        """Return whether the upstream has outlived the start of one of its runs."""
        return run.had_settled or (
            run.confirmed_at is not None
            and self.last_seen_at - run.confirmed_at >= SETTLING_SECONDS
        )

    def responds(self, now: float) -> bool:
        """Return whether it has responded just now, or since a trial was wanted."""
        age_seconds = now - self.last_seen_at
        return age_seconds <= MAX_CONTACT_AGE_SECONDS or (
            self.trial_wanted_at is not None
            and self.last_seen_at > self.trial_wanted_at
            and age_seconds <= MAX_ANSWER_AGE_SECONDS
        )

    def awaits_contact(self, now: float) -> bool:
        """Return whether it is unknown if it is up, and something waits for that."""
        return self.is_probably_down() or (
            self.trial_wanted_at is not None and not self.responds(now)
        )

    def awaits_settling(self, now: float) -> bool:
        """Return whether starts wait until its runs have settled, and they should."""
        return (self.is_reserved or self.is_limited or self.has_trial()) and any(
            run.confirmed_at is not None
            and not self.is_settled(run)
            and now - run.confirmed_at >= SETTLING_SECONDS
            for run in self.runs.values()
        )

    def has_trial(self) -> bool:
        """Return whether a suspect that runs on the upstream has not settled yet."""
        return any(
            run.is_trial and not self.is_settled(run) for run in self.runs.values()
        )

    def unsettled_count(self) -> int:
        """Return the number of runs that have not settled yet."""
        return sum(not self.is_settled(run) for run in self.runs.values())

    def _has_overdue_start(self, now: float) -> bool:
        return any(
            run.confirmed_at is None and now - run.started_at > OVERDUE_START_SECONDS
            for run in self.runs.values()
        )

    def add(self, run: Run) -> None:
        """Add a run and count its resources as used.

        Raise DuplicateRunError if the task has a run here, whose resources would stay
        counted for good.
        """
        known = self.runs.get(run.task)
        if known is not None:
            raise DuplicateRunError(self.id, run_name(known))
        self.runs[run.task] = run
        self.used = self.used + counted_resources(run)

    def remove(self, task: TaskId) -> Run | None:
        """Remove a run and free its resources; return None if it is unknown."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.used = self.used - counted_resources(run)
        return run

    def room(self) -> Resources:
        """Return the unused part of the capacity."""
        return self.entry.capacity - self.used

    def is_over_capacity(self) -> bool:
        """Return whether more is counted than the capacity as last reported."""
        return not self.used.fits_in(self.entry.capacity)

    def has_granted_lease(self) -> bool:
        """Return whether this owner has granted a lease to this incarnation."""
        return self.lease is not None and self.lease.has_granted

    def latest_lease_expiry(self, unknown_lease_seconds: float) -> float:
        """Return when an upstream that stays unreachable certainly runs nothing.

        An upstream never shortens a lease, so the latest of all bounds counts: those of
        earlier owners hold on after this one has granted a lease.
        """
        return max(
            self.own_lease_expiry(),
            self.earlier_owners_expiry(unknown_lease_seconds),
            self.earlier_lease_until,
        )

    def own_lease_expiry(self) -> float:
        """Return when the leases that this owner has granted have expired."""
        if self.lease is None or not (
            self.lease.has_granted or self.began_after_contact
        ):
            return float("-inf")
        return self.lease.latest_expiry()

    def earlier_owners_expiry(self, unknown_lease_seconds: float) -> float:
        """Return when the leases of earlier owners have expired."""
        if self.began_after_contact and self.lease is not None:
            return float("-inf")
        if self.inherited_lease is not None:
            return self.inherited_lease.expires_at
        return self.owned_since + unknown_lease_seconds

    def latest_return(self, policy: SchedulingPolicy) -> float:
        """Return until when it is kept without an entry, as it may have runs."""
        if self.inherited_lease is None:
            return self.added_at + policy.unlisted_grace_seconds
        return max(
            self.added_at + policy.entry_return_seconds,
            self.latest_lease_expiry(policy.unknown_lease_seconds),
        )


def counted_resources(run: Run) -> Resources:
    """Return what a run takes of its upstream's capacity."""
    if run.is_filler:
        return Resources(0, run.needs.memory_mb, run.needs.gpus)
    return run.needs


def run_name(run: Run) -> str:
    """Return the name of a run for the log."""
    return f"{'.'.join(map(str, run.task))}#{run.number}"
