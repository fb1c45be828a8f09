"""Hold an entry instance's state and carry out what is decided on it."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random
from secrets import token_hex
from time import time

from baobablane.budgets import AvailabilityBudget
from baobablane.cluster import Participant, ParticipantTiming
from baobablane.config import (
    CONFIG_FOLD,
    ApplyResult,
    ConfigView,
    build_view,
)
from baobablane.dispatch import (
    TASK_LEASE_SECONDS,
    AttemptResult,
    Dispatcher,
    DispatchPolicy,
    Start,
    Step,
)
from baobablane.errors import ResultCode
from baobablane.journal import Intent, Journal, RecordedOutcome
from baobablane.journal import encode_record as encode_journal_record
from baobablane.log import CheckpointedFold
from baobablane.membership import (
    ABSENT,
    MemberAddress,
)
from baobablane.membership import encode_record as encode_member_record
from baobablane.shares import DemandTable, compute_pool_shares
from baobablane_platform import CONFIG_STREAM, JOURNAL_STREAM, MEMBERSHIP_STREAM
from prometheus_client import CollectorRegistry

from ..settings import DaemonSettings
from ..tasks import (
    Beat,
    Cancel,
    DecisionLog,
    FetchState,
    InstancesListed,
    PageRead,
    PeerSend,
    ReadFailed,
    StateReply,
    WriteOrder,
)
from ._checkpoints import CheckpointWriter
from ._metrics import EngineCollector
from ._peer_exchange import PeerExchange
from ._traffic import Traffic
from ._waiters import Waiters

HORIZON_PARTS_OF_RETENTION = 2
DEMAND_SECONDS = 2.0
TASK_LEASE_MARGIN_SECONDS = 1.0


class Engine:
    """Hold the folds, the view lease, the dispatcher and the escrow."""

    def __init__(
        self,
        settings: DaemonSettings,
        decisions: DecisionLog,
        writer_inbox: "asyncio.Queue[WriteOrder]",
        peer_outbox: "asyncio.Queue[PeerSend]",
    ) -> None:
        """Start without a configuration; must be made inside an event loop."""
        self.settings = settings
        # Monotonic time in seconds.
        self.now = asyncio.get_running_loop().time
        self.decisions = decisions
        self.inbox: asyncio.Queue[object] = asyncio.Queue()
        self.config = CheckpointedFold(CONFIG_FOLD)
        retention = settings.platform.log_retention_seconds
        self.journal = Journal(retention / HORIZON_PARTS_OF_RETENTION)
        self.journal_is_read = False
        self.journal_is_failing = False
        self.view = ConfigView(-1)
        self.config_verdicts: Waiters[ApplyResult] = Waiters()
        self.journal_reads: Waiters[bool] = Waiters()
        self.outcomes: Waiters[RecordedOutcome] = Waiters()
        self.starts: Waiters[Step] = Waiters()
        self.budgets: dict[str, AvailabilityBudget] = {}
        self.results_by_code: Counter[int] = Counter()
        self.registry = CollectorRegistry()
        self.registry.register(EngineCollector(self))
        self.stopping = False
        # Other parts of the process that handle what the engine only receives.
        self.on_cancel: Callable[[str, str], None] = lambda request, team: None
        self.on_deferred_page: Callable[[PageRead], None] = lambda read: None
        self.traffic: Callable[[], Traffic] = Traffic
        self._writer_inbox = writer_inbox
        self.peers = PeerExchange(self, peer_outbox)
        self._numbers = itertools.count(1)
        self._voided: dict[str, Intent] = {}
        # Upstreams that the platform lists as leaving or gone.
        self.listed_out: frozenset[str] = frozenset()
        self.demands = DemandTable(settings.instance.id)
        self._beat_at = float("-inf")
        self._shared_at = float("-inf")
        self._duties_at = float("-inf")
        self._checkpoints = CheckpointWriter(self)
        self._random = Random()
        self.cluster = self._make_participant()
        self.dispatcher = Dispatcher(
            settings.instance.zone, self.cluster.escrow, self._random, DispatchPolicy()
        )

    @property
    def incarnation(self) -> str:
        """Return the name of this process towards its peers and the log."""
        return self.cluster.incarnation

    def new_request_id(self) -> str:
        """Return a name for a request that no other instance gives."""
        return f"{self.incarnation}-{next(self._numbers)}"

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        has_config = self.view.revision != ABSENT
        may_run = self.may_run_team_work()
        return (
            may_run and has_config and self.cluster.owns_slots() and not self.stopping
        )

    def may_run_team_work(self) -> bool:
        """Return whether this instance still may use its units."""
        return self.cluster.may_run(self.now())

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self._handle(await self.inbox.get())

    def tick(self) -> None:
        """Do what is due by now."""
        now = self.now()
        if now - self._duties_at >= self.settings.timing.beat_seconds / 2:
            self._duties_at = now
            self._do_duties(now)
        if now - self._beat_at >= self.settings.timing.beat_seconds:
            self._beat_at = now
            self.peers.send_beats(now)
        if now - self._shared_at >= self.settings.timing.beat_seconds / 4:
            self._shared_at = now
            self._update_shares(now)
        self.pump()

    def pump(self) -> None:
        """Start the waiting requests that may start now."""
        if not self.dispatcher.has_waiting() or not self.may_run_team_work():
            return
        for start in self.dispatcher.start_waiting(self.now()):
            self._hand_over(start)

    def draining_in_flight(self) -> dict[str, int]:
        """Return the work in flight here on upstreams that get nothing new."""
        placements = self.view.placements_by_instance
        counts = {
            name: self.dispatcher.in_flight(name)
            for name in placements
            if not self.view.is_serving(name)
        }
        return {name: count for name, count in counts.items() if count}

    def demand_by_pool(self) -> dict[str, float]:
        """Return the slots that the work of all entry instances asks for."""
        totals = {
            name: float(sum(self.demands.by_team(name).values()))
            for name in self.dispatcher.pools
        }
        for line in self.dispatcher.demand():
            totals[line.pool] += line.waiting + line.running
        return totals

    def pump_soon(self) -> None:
        """Start waiting requests once the caller has begun to wait."""
        asyncio.get_running_loop().call_soon(self.pump)

    def write(self, stream: str, payload: str) -> None:
        """Hand a record to the writer."""
        self._writer_inbox.put_nowait(WriteOrder(stream, payload))

    def void(self, intent: Intent) -> None:
        """Record that an intent was never sent, now and whenever it shows up."""
        self._voided[intent.id] = intent
        self._write_not_run(intent)

    def count_result(self, service: str, code: ResultCode) -> None:
        """Count a result, and against a service's availability budget."""
        self.results_by_code[int(code)] += 1
        budget = self.budgets.get(service)
        if budget is not None:
            budget.count(code, self.now())

    def _make_participant(self) -> Participant:
        instance = self.settings.instance
        timing = self.settings.timing
        address = MemberAddress(
            str(instance.host),
            instance.peers_port,
            instance.operators_port,
            instance.zone,
        )
        return Participant(
            instance.id,
            address,
            lambda: f"{instance.id}-{token_hex(4)}",
            ParticipantTiming(timing.view_lease_seconds, timing.silence_seconds),
        )

    def _handle(self, message: object) -> None:
        match message:
            case PageRead():
                self._handle_page(message)
            case Beat():
                self.peers.hear_beat(message)
            case FetchState():
                self.peers.reply_state(message)
            case StateReply():
                self.peers.adopt_state(message)
            case InstancesListed():
                self.listed_out = message.leaving | message.gone
                self.dispatcher.set_leaving(self.listed_out)
                self.cluster.tracker.set_terminated(set(message.gone))
            case Cancel():
                self.on_cancel(message.request, message.team)
            case ReadFailed():
                if message.stream == JOURNAL_STREAM:
                    self.journal_is_failing = True

    def _handle_page(self, read: PageRead) -> None:
        page = read.page
        if page.records:
            self._checkpoints.note_oldest(read.stream, page.records[0].appended_at)
        if read.stream == CONFIG_STREAM:
            self._config_read(read)
        elif read.stream == MEMBERSHIP_STREAM:
            self.cluster.apply_page(page, read.asked_at)
            self.follow_escrow()
        elif read.stream == JOURNAL_STREAM:
            self._journal_read(read)
        else:
            self.on_deferred_page(read)

    def _config_read(self, read: PageRead) -> None:
        self.config.skip_to(read.page.first_offset)
        self.config_changed(self.config.feed(read.page.records))
        if self.config.is_caught_up(read.page.next_offset):
            self.cluster.lease.record_config_read(read.asked_at)

    def _journal_read(self, read: PageRead) -> None:
        self.journal_is_failing = False
        for record in self.journal.feed(read.page.records):
            if isinstance(record, RecordedOutcome):
                self._voided.pop(record.intent, None)
                self.outcomes.give(record.key, record)
                continue
            self.journal_reads.give(record.id, self.journal.is_current(record))
            if record.id in self._voided and self.journal.is_current(record):
                self._write_not_run(record)
        last = read.page.records[-1].offset + 1 if read.page.records else 0
        if not read.page.records or last >= read.page.next_offset:
            self.journal_is_read = True

    def _write_not_run(self, intent: Intent) -> None:
        record = RecordedOutcome(
            f"{intent.id}.void", intent.key, intent.id, int(ResultCode.LOG_UNAVAILABLE)
        )
        self.write(JOURNAL_STREAM, encode_journal_record(record))

    def config_changed(self, verdicts: list[ApplyResult]) -> None:
        """Bring the configuration last folded into force."""
        for verdict in verdicts:
            self.config_verdicts.give(verdict.record_id, verdict)
        if self.config.state.revision == self.view.revision:
            return
        self.view = build_view(self.config.state)
        teams = self.view.teams_by_name
        self.cluster.set_config(
            {name: team.limit for name, team in teams.items()},
            self.view.revision,
            self.view.settings.entry_instances,
            TASK_LEASE_SECONDS + TASK_LEASE_MARGIN_SECONDS,
        )
        self.dispatcher.apply_config(self.view)
        for name, service in self.view.services_by_name.items():
            budget = AvailabilityBudget(service.availability, service.window_seconds)
            self.budgets.setdefault(name, budget)
        self.decisions.info("config-in-force", revision=self.view.revision)

    def follow_escrow(self) -> None:
        """Count new starts in the escrow of the incarnation in force."""
        if self.dispatcher.escrow is not self.cluster.escrow:
            self.decisions.info("rejoining", incarnation=self.incarnation)
            self.dispatcher.set_escrow(self.cluster.escrow)

    def _do_duties(self, now: float) -> None:
        cluster = self.cluster
        for record in cluster.due_records(now):
            self.write(MEMBERSHIP_STREAM, encode_member_record(record))
        if cluster.is_coordinator(now):
            self._checkpoints.write_due(time())

    def _update_shares(self, now: float) -> None:
        self.demands.expire(now - DEMAND_SECONDS)
        heard = self.cluster.count_reachable(now)
        teams = self.view.teams_by_name
        limits = {name: team.limit for name, team in teams.items()}
        own: dict[str, dict[str, int]] = {}
        for line in self.dispatcher.demand():
            own.setdefault(line.pool, {})[line.team] = line.waiting + line.running
        for name, pool in self.dispatcher.pools.items():
            mine = own.get(name, {})
            theirs = self.demands.by_team(name)
            weights = {
                team: self.dispatcher.share_of(team) for team in {*mine, *theirs}
            }
            pool.shares = compute_pool_shares(
                pool.capacity,
                mine,
                theirs,
                self.demands.preceding_by_team(name),
                weights,
                limits,
                max(1, heard),
            )

    def _hand_over(self, start: Start) -> None:
        if not self.starts.give(start.attempt.request, start):
            # Its caller has just stopped waiting: nothing was sent.
            self.dispatcher.handle_result(
                start.attempt, AttemptResult.NOT_RECORDED, self.now()
            )
