"""Hold an entry instance's state and carry out what is decided on it."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random
from secrets import token_hex
from time import time

from baobablane.budgets import AvailabilityBudget
from baobablane.cluster import Hearing, Participant, ParticipantTiming
from baobablane.config import (
    CONFIG_FOLD,
    ConfigView,
    Verdict,
    build_view,
    encode_record,
    make_checkpoint,
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
from baobablane.fleet import DrainReport
from baobablane.journal import Intent, Journal, RecordedOutcome
from baobablane.journal import encode_record as encode_journal_record
from baobablane.log import AnchoredFold
from baobablane.membership import (
    ABSENT,
    MEMBERSHIP_FOLD,
    MemberAddress,
)
from baobablane.membership import encode_record as encode_member_record
from baobablane.membership import make_checkpoint as make_member_checkpoint
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
    encode_message,
)
from ._metrics import EngineCollector
from ._traffic import Traffic
from ._waiters import Waiters

CHECKPOINT_PARTS_OF_RETENTION = 3
HORIZON_PARTS_OF_RETENTION = 2
DEMAND_SECONDS = 2.0
FETCH_SECONDS = 0.5
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
        self.config = AnchoredFold(CONFIG_FOLD)
        retention = settings.platform.log_retention_seconds
        self.journal = Journal(retention / HORIZON_PARTS_OF_RETENTION)
        self.journal_is_read = False
        self.journal_is_failing = False
        self.view = ConfigView(-1)
        self.config_verdicts: Waiters[Verdict] = Waiters()
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
        self._peer_outbox = peer_outbox
        self._numbers = itertools.count(1)
        self._voided: dict[str, Intent] = {}
        self._echoes: dict[str, float] = {}
        self.drain_reports: dict[str, DrainReport] = {}
        # Upstreams that the platform lists as leaving or gone.
        self.listed_out: frozenset[str] = frozenset()
        self._demands = DemandTable(settings.instance.id)
        self._beat_at = float("-inf")
        self._shared_at = float("-inf")
        self._duties_at = float("-inf")
        self._fetched_at = float("-inf")
        self._anchored_at: dict[str, float] = {}
        self._last_checkpoint: dict[str, float] = {}
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
            may_run and has_config and self.cluster.holds_slots() and not self.stopping
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
            self._send_beats(now)
        if now - self._shared_at >= self.settings.timing.beat_seconds / 4:
            self._shared_at = now
            self._update_shares(now)
        self.pump()

    def pump(self) -> None:
        """Start the waiting requests that may start now."""
        if not self.dispatcher.has_waiting() or not self.may_run_team_work():
            return
        for start in self.dispatcher.pump(self.now()):
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
            name: float(sum(self._demands.by_team(name).values()))
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

    def send_cancel(self, request: str, team: str) -> None:
        """Pass a caller's cancellation on to all peers."""
        frame = encode_message(Cancel(self.incarnation, request, team))
        for peer in self.cluster.peers():
            self._send(peer.address.host, peer.address.peer_port, frame)

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
            case PageRead(stream=stream):
                self._handle_page(message, stream)
            case Beat():
                self._handle_beat(message)
            case FetchState():
                self._reply_state(message)
            case StateReply():
                self._adopt_state(message)
            case InstancesListed():
                self.listed_out = message.leaving | message.gone
                self.dispatcher.set_leaving(self.listed_out)
                self.cluster.tracker.terminated(set(message.gone))
            case Cancel():
                self.on_cancel(message.request, message.team)
            case ReadFailed(stream="journal"):
                self.journal_is_failing = True
            case ReadFailed():
                pass

    def _handle_page(self, read: PageRead, stream: str) -> None:
        page = read.page
        if page.records:
            self._anchored_at.setdefault(stream, page.records[0].appended_at)
        match stream:
            case "config":
                self.config.skip_to(page.first_offset)
                self._config_changed(self.config.feed(page.records))
                if self.config.is_caught_up(page.next_offset):
                    self.cluster.lease.config_read(read.asked_at)
            case "membership":
                self.cluster.read_page(page, read.asked_at)
                self._follow_escrow()
            case "journal":
                self._journal_read(read)
            case _:
                self.on_deferred_page(read)

    def _journal_read(self, read: PageRead) -> None:
        self.journal_is_failing = False
        for record in self.journal.feed(read.page.records):
            if isinstance(record, RecordedOutcome):
                self._voided.pop(record.intent, None)
                self.outcomes.give(record.key, record)
                continue
            self.journal_reads.give(record.id, self.journal.is_first(record))
            if record.id in self._voided and self.journal.is_first(record):
                self._write_not_run(record)
        last = read.page.records[-1].offset + 1 if read.page.records else 0
        if not read.page.records or last >= read.page.next_offset:
            self.journal_is_read = True

    def _write_not_run(self, intent: Intent) -> None:
        record = RecordedOutcome(
            f"{intent.id}.void", intent.key, intent.id, int(ResultCode.LOG_UNAVAILABLE)
        )
        self.write(JOURNAL_STREAM, encode_journal_record(record))

    def _config_changed(self, verdicts: list[Verdict]) -> None:
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

    def _follow_escrow(self) -> None:
        if self.dispatcher.escrow is not self.cluster.escrow:
            self.decisions.info("rejoining", incarnation=self.incarnation)
            self.dispatcher.set_escrow(self.cluster.escrow)

    def _do_duties(self, now: float) -> None:
        cluster = self.cluster
        for record in cluster.due_records(now):
            self.write(MEMBERSHIP_STREAM, encode_member_record(record))
        if cluster.is_first_heard(now):
            self._write_checkpoints()

    def _write_checkpoints(self) -> None:
        every = (
            self.settings.platform.log_retention_seconds / CHECKPOINT_PARTS_OF_RETENTION
        )
        wall = time()
        for stream, anchored_at in self._anchored_at.items():
            last = max(anchored_at, self._last_checkpoint.get(stream, 0.0))
            if wall - last < every or stream == JOURNAL_STREAM:
                continue
            self._last_checkpoint[stream] = wall
            record_id = f"{self.incarnation}.checkpoint.{int(wall)}"
            if stream == CONFIG_STREAM and self.config.anchored:
                upto = self.config.next_offset - 1
                record = make_checkpoint(self.config.state, upto, record_id)
                self.write(stream, encode_record(record))
            elif stream == MEMBERSHIP_STREAM and self.cluster.fold.anchored:
                upto = self.cluster.fold.next_offset - 1
                state = self.cluster.state
                member_record = make_member_checkpoint(state, upto, record_id)
                self.write(stream, encode_member_record(member_record))

    def _send_beats(self, now: float) -> None:
        if not self.cluster.state.is_active(self.incarnation):
            return
        waiting = self.dispatcher.waiting_for_limit()
        self.cluster.trade(waiting, now)
        demand = tuple(self.dispatcher.demand())
        draining = self.draining_in_flight()
        instance = self.settings.instance
        for peer in self.cluster.peers():
            beat = Beat(
                sender=self.incarnation,
                instance=instance.id,
                host=str(instance.host),
                port=instance.peers_port,
                sent_at=now,
                echoed_at=self._echoes.get(peer.incarnation, float("-inf")),
                config_next=self.config.next_offset,
                membership_next=self.cluster.fold.next_offset,
                revision=self.view.revision,
                demand=demand,
                ledger=self.cluster.escrow.ledger_for(peer.incarnation, waiting),
                draining=draining,
            )
            self._send(peer.address.host, peer.address.peer_port, encode_message(beat))

    def _send(self, host: str, port: int, frame: bytes) -> None:
        self._peer_outbox.put_nowait(PeerSend(host, port, frame))

    def _handle_beat(self, beat: Beat) -> None:
        now = self.now()
        self._echoes[beat.sender] = beat.sent_at
        hearing = Hearing(
            beat.sender,
            beat.instance,
            beat.echoed_at if self.config.anchored else float("-inf"),
            beat.config_next,
            beat.membership_next,
            beat.ledger,
        )
        if self.cluster.hear(hearing, self.config.next_offset, now):
            self.drain_reports[beat.sender] = DrainReport(
                beat.revision, now, beat.draining
            )
            self._demands.report(beat.instance, beat.demand, now)
        self._fetch_if_behind(beat, now)

    def _fetch_if_behind(self, beat: Beat, now: float) -> None:
        ahead = (
            beat.config_next > self.config.next_offset
            or beat.membership_next > self.cluster.fold.next_offset
        )
        if not ahead or now - self._fetched_at < FETCH_SECONDS:
            return
        self._fetched_at = now
        instance = self.settings.instance
        message = FetchState(self.incarnation, str(instance.host), instance.peers_port)
        self._send(beat.host, beat.port, encode_message(message))

    def _reply_state(self, message: FetchState) -> None:
        if not (self.config.anchored and self.cluster.fold.anchored):
            return
        config_next = self.config.next_offset
        member_next = self.cluster.fold.next_offset
        config = make_checkpoint(self.config.state, config_next - 1, "peer")
        state = self.cluster.state
        membership = make_member_checkpoint(state, member_next - 1, "peer")
        reply = StateReply(
            self.incarnation,
            config_next,
            encode_record(config),
            member_next,
            encode_member_record(membership),
        )
        self._send(message.host, message.port, encode_message(reply))

    def _adopt_state(self, reply: StateReply) -> None:
        config = CONFIG_FOLD.decode(reply.config)
        if config is not None and self.config.adopt(config, reply.config_next):
            self._config_changed([])
        membership = MEMBERSHIP_FOLD.decode(reply.membership)
        if membership is not None:
            self.cluster.adopt(membership, reply.membership_next)
            self._follow_escrow()

    def _update_shares(self, now: float) -> None:
        self._demands.expire(now - DEMAND_SECONDS)
        heard = self.cluster.count_heard(now)
        teams = self.view.teams_by_name
        limits = {name: team.limit for name, team in teams.items()}
        own: dict[str, dict[str, int]] = {}
        for line in self.dispatcher.demand():
            own.setdefault(line.pool, {})[line.team] = line.waiting + line.running
        for name, pool in self.dispatcher.pools.items():
            mine = own.get(name, {})
            theirs = self._demands.by_team(name)
            weights = {
                team: self.dispatcher.share_of(team) for team in {*mine, *theirs}
            }
            pool.shares = compute_pool_shares(
                pool.capacity,
                mine,
                theirs,
                self._demands.by_team_before(name),
                weights,
                limits,
                max(1, heard),
            )

    def _hand_over(self, start: Start) -> None:
        if not self.starts.give(start.attempt.request, start):
            # Its caller has just stopped waiting: nothing was sent.
            self.dispatcher.answered(
                start.attempt, AttemptResult.NOT_RECORDED, self.now()
            )
