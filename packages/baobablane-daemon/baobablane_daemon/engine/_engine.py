"""Hold an entry instance's state and carry out what is decided on it."""

import asyncio
import itertools
from collections import Counter
from random import Random
from secrets import token_hex
from time import time

from baobablane.budgets import AvailabilityBudget
from baobablane.config import (
    CONFIG_FOLD,
    ConfigView,
    Verdict,
    build_view,
    encode_record,
    make_checkpoint,
)
from baobablane.dispatch import AttemptResult, Dispatcher, DispatchPolicy, Start, Step
from baobablane.errors import ResultCode
from baobablane.journal import Intent, Journal, RecordedOutcome
from baobablane.journal import encode_record as encode_journal_record
from baobablane.limits import Escrow
from baobablane.log import AnchoredFold
from baobablane.membership import (
    ABSENT,
    MEMBERSHIP_FOLD,
    Member,
    MemberAddress,
    PeerPosition,
    ReclaimPolicy,
    ReclaimTracker,
    ViewLease,
)
from baobablane.membership import encode_record as encode_member_record
from baobablane.membership import make_checkpoint as make_member_checkpoint
from baobablane.shares import DemandTable, compute_pool_shares
from baobablane_platform import CONFIG_STREAM, JOURNAL_STREAM, MEMBERSHIP_STREAM
from prometheus_client import CollectorRegistry

from ..settings import DaemonSettings
from ..tasks import (
    Beat,
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
from ._member_duties import MemberDuties
from ._metrics import EngineCollector
from ._waiters import Waiters

CHECKPOINT_PARTS_OF_RETENTION = 3
HORIZON_PARTS_OF_RETENTION = 2
DEMAND_SECONDS = 2.0
FETCH_SECONDS = 0.5
LONGEST_TASK_MARGIN_SECONDS = 1.0


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
        self.membership = AnchoredFold(MEMBERSHIP_FOLD)
        retention = settings.platform.log_retention_seconds
        self.journal = Journal(retention / HORIZON_PARTS_OF_RETENTION)
        self.journal_is_read = False
        self.view = ConfigView(-1)
        self.lease = ViewLease(settings.timing.view_lease_seconds, 1)
        self.config_verdicts: Waiters[Verdict] = Waiters()
        self.journal_reads: Waiters[bool] = Waiters()
        self.outcomes: Waiters[RecordedOutcome] = Waiters()
        self.starts: Waiters[Step] = Waiters()
        self.budgets: dict[str, AvailabilityBudget] = {}
        self.results_by_code: Counter[int] = Counter()
        self.registry = CollectorRegistry()
        self.registry.register(EngineCollector(self))
        self.stopping = False
        self._writer_inbox = writer_inbox
        self._peer_outbox = peer_outbox
        self._numbers = itertools.count(1)
        self._voided: dict[str, Intent] = {}
        self._echoes: dict[str, float] = {}
        self._demands = DemandTable()
        self._last_served: dict[tuple[str, str, str], float] = {}
        self._beat_at = float("-inf")
        self._shared_at = float("-inf")
        self._duties_at = float("-inf")
        self._fetched_at = float("-inf")
        self._anchored_at: dict[str, float] = {}
        self._last_checkpoint: dict[str, float] = {}
        self._random = Random()
        self._begin_incarnation()
        self.dispatcher = Dispatcher(
            settings.instance.zone, self.escrow, self._random, DispatchPolicy()
        )

    @property
    def incarnation(self) -> str:
        """Return the name of this process towards its peers and the log."""
        return self.duties.incarnation

    def new_request_id(self) -> str:
        """Return a name for a request that no other instance gives."""
        return f"{self.incarnation}-{next(self._numbers)}"

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        joined = self.membership.state.is_active(self.incarnation)
        has_config = self.view.revision != ABSENT
        confirmed = self.lease.is_confirmed(self.now())
        return joined and has_config and confirmed and not self.stopping

    def is_member(self) -> bool:
        """Return whether the log lists this process as a member."""
        return self.incarnation in self.membership.state.members_by_incarnation

    def may_run_team_work(self) -> bool:
        """Return whether this instance still may use its units."""
        active = self.membership.state.is_active(self.incarnation)
        return active and self.lease.is_confirmed(self.now())

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

    def _begin_incarnation(self) -> None:
        instance = self.settings.instance
        incarnation = f"{instance.id}-{token_hex(4)}"
        address = MemberAddress(
            str(instance.host),
            instance.peers_port,
            instance.operators_port,
            instance.zone,
        )
        timing = self.settings.timing
        self.duties = MemberDuties(
            incarnation, instance.id, address, timing.silence_seconds / 3
        )
        self.escrow = Escrow(incarnation)
        self.tracker = ReclaimTracker(incarnation, self._reclaim_policy())

    def _reclaim_policy(self) -> ReclaimPolicy:
        timing = self.settings.timing
        queues = self.view.queues_by_name.values()
        longest = max((queue.deadline_seconds for queue in queues), default=0.0)
        return ReclaimPolicy(
            timing.silence_seconds,
            timing.view_lease_seconds,
            longest + LONGEST_TASK_MARGIN_SECONDS,
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
                self.dispatcher.set_leaving(message.leaving | message.gone)
                self.tracker.terminated(set(message.gone))
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
                    self.lease.config_read(read.asked_at)
            case "membership":
                self.membership.skip_to(page.first_offset)
                for verdict in self.membership.feed(page.records):
                    self.duties.read_back(verdict.record_id)
                if page.records:
                    self._membership_changed()
                if self.membership.is_caught_up(page.next_offset):
                    self.lease.membership_read(read.asked_at)
            case _:
                self._journal_read(read)

    def _journal_read(self, read: PageRead) -> None:
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
        limits = {name: team.limit for name, team in self.view.teams_by_name.items()}
        self.escrow.set_limits(limits, self.view.revision)
        self.lease.entry_instances = self.view.settings.entry_instances
        self.tracker.policy = self._reclaim_policy()
        self.dispatcher.apply_config(self.view)
        for name, service in self.view.services_by_name.items():
            budget = AvailabilityBudget(service.availability, service.window_seconds)
            self.budgets.setdefault(name, budget)
        self.decisions.info("config-in-force", revision=self.view.revision)

    def _membership_changed(self) -> None:
        state = self.membership.state
        me = state.members_by_incarnation.get(self.incarnation)
        if me is not None and me.notice_at != ABSENT and not self.stopping:
            self.decisions.info("rejoining", ground=str(me.ground))
            self._begin_incarnation()
            limits = {n: team.limit for n, team in self.view.teams_by_name.items()}
            self.escrow.set_limits(limits, self.view.revision)
            self.dispatcher.set_escrow(self.escrow)
            return
        for member in state.members_by_incarnation.values():
            if member.notice_at != ABSENT:
                self.escrow.peer_noticed(member.incarnation)
        self._apply_slots()

    def _apply_slots(self) -> None:
        owned = self.membership.state.slots_of(self.incarnation)
        self.escrow.set_slots(owned - self.duties.releasing)

    def _do_duties(self, now: float) -> None:
        state = self.membership.state
        self._apply_slots()
        if self.view.revision == ABSENT or not self.membership.anchored:
            return
        self._settle_lapsed(now)
        entry_instances = self.view.settings.entry_instances
        for record in self.duties.due_records(
            state, self.escrow, self.tracker, entry_instances, now
        ):
            self.write(MEMBERSHIP_STREAM, encode_member_record(record))
        self._apply_slots()
        if self.duties.is_first_heard(state, now) and state.is_active(self.incarnation):
            self._write_checkpoints()

    def _settle_lapsed(self, now: float) -> None:
        members = self.membership.state.members_by_incarnation
        for peer in self.escrow.debtors():
            member = members.get(peer)
            ended = member is None or member.reclaimed
            if ended or self.tracker.has_lapsed(peer, now):
                self.escrow.peer_lapsed(peer)

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
            elif stream == MEMBERSHIP_STREAM and self.membership.anchored:
                upto = self.membership.next_offset - 1
                state = self.membership.state
                member_record = make_member_checkpoint(state, upto, record_id)
                self.write(stream, encode_member_record(member_record))

    def _peers(self) -> list[Member]:
        members = self.membership.state.active_members()
        return [m for m in members if m.incarnation != self.incarnation]

    def _send_beats(self, now: float) -> None:
        if not self.membership.state.is_active(self.incarnation):
            return
        waiting = self.dispatcher.waiting_for_limit()
        self.escrow.return_unwanted(waiting)
        if self.may_run_team_work():
            self.escrow.lend(waiting)
        demand = tuple(self.dispatcher.demand())
        for peer in self._peers():
            beat = Beat(
                sender=self.incarnation,
                instance=self.settings.instance.id,
                sent_at=now,
                echoed_at=self._echoes.get(peer.incarnation, float("-inf")),
                config_next=self.config.next_offset,
                membership_next=self.membership.next_offset,
                revision=self.view.revision,
                demand=demand,
                ledger=self.escrow.ledger_for(peer.incarnation, waiting),
            )
            self._send(peer.address.host, peer.address.peer_port, encode_message(beat))

    def _send(self, host: str, port: int, frame: bytes) -> None:
        self._peer_outbox.put_nowait(PeerSend(host, port, frame))

    def _handle_beat(self, beat: Beat) -> None:
        now = self.now()
        self._echoes[beat.sender] = beat.sent_at
        if not self.membership.state.is_active(beat.sender):
            self._fetch_if_behind(beat, now)
            return
        self.tracker.heard(beat.sender, now)
        self.duties.heard_at[beat.sender] = now
        self.duties.positions[beat.sender] = beat.membership_next
        self._demands.report(beat.sender, beat.demand, now)
        self._charge_peer(beat)
        self.escrow.hear_ledger(beat.ledger)
        position = PeerPosition(
            beat.instance, beat.echoed_at, beat.config_next, beat.membership_next
        )
        if self.config.anchored and self.membership.anchored:
            self.lease.peer_heard(
                position, self.config.next_offset, self.membership.next_offset
            )
        self._fetch_if_behind(beat, now)

    def _charge_peer(self, beat: Beat) -> None:
        for line in beat.demand:
            key = (beat.sender, line.pool, line.team)
            gained = line.served_total - self._last_served.get(key, 0.0)
            self._last_served[key] = line.served_total
            pool = self.dispatcher.pools.get(line.pool)
            if pool is not None:
                share = self.dispatcher.share_of(line.team)
                pool.clock.charge(line.team, gained, share)

    def _fetch_if_behind(self, beat: Beat, now: float) -> None:
        ahead = (
            beat.config_next > self.config.next_offset
            or beat.membership_next > self.membership.next_offset
        )
        if not ahead or now - self._fetched_at < FETCH_SECONDS:
            return
        sender = self.membership.state.members_by_incarnation.get(beat.sender)
        if sender is None:
            return
        self._fetched_at = now
        instance = self.settings.instance
        message = FetchState(self.incarnation, str(instance.host), instance.peers_port)
        address = sender.address
        self._send(address.host, address.peer_port, encode_message(message))

    def _reply_state(self, message: FetchState) -> None:
        if not (self.config.anchored and self.membership.anchored):
            return
        config_next = self.config.next_offset
        member_next = self.membership.next_offset
        config = make_checkpoint(self.config.state, config_next - 1, "peer")
        state = self.membership.state
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
        if membership is not None and self.membership.adopt(
            membership, reply.membership_next
        ):
            self._membership_changed()

    def _update_shares(self, now: float) -> None:
        self._demands.expire(now - DEMAND_SECONDS)
        heard = len(self.duties.heard_members(self.membership.state, now))
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
                pool.capacity, mine, theirs, weights, limits, max(1, heard)
            )

    def _hand_over(self, start: Start) -> None:
        if not self.starts.give(start.attempt.request, start):
            # Its caller has just stopped waiting: nothing was sent.
            self.dispatcher.answered(
                start.attempt, AttemptResult.NOT_RECORDED, self.now()
            )
