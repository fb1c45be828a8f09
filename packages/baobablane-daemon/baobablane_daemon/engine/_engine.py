"""Maintain an entry instance's state and apply the decisions made on it."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random
from secrets import token_hex
from time import time

from baobablane.budgets import AvailabilityBudget
from baobablane.cluster import Participant, ParticipantTiming
from baobablane.config import CONFIG_FOLD, ApplyResult, ConfigView, build_view
from baobablane.dispatch import (
    TASK_LEASE_SECONDS,
    AttemptResult,
    Dispatcher,
    DispatchPolicy,
    RequestStep,
    Start,
)
from baobablane.errors import ResultCode
from baobablane.journal import Intent, Journal, RecordedOutcome
from baobablane.journal import encode_record as encode_journal_record
from baobablane.log import CheckpointedFold
from baobablane.membership import ABSENT, MemberAddress
from baobablane.membership import encode_record as encode_member_record
from baobablane.shares import DemandTable, compute_pool_shares
from baobablane_platform import CONFIG_STREAM, JOURNAL_STREAM, MEMBERSHIP_STREAM
from prometheus_client import CollectorRegistry

from ..decision_log import DecisionLog
from ..settings import DaemonSettings
from ..tasks import (
    AppendRequest,
    Cancel,
    FetchState,
    Heartbeat,
    OutgoingFrame,
    PageRead,
    ReadFailed,
    StateReply,
    UnavailableInstances,
)
from ._checkpoints import CheckpointWriter
from ._metrics import EngineCollector
from ._peer_exchange import PeerExchange
from ._traffic import Traffic
from ._waiters import Waiters

KEY_VALIDITIES_PER_RETENTION = 2
MAX_DEMAND_AGE_SECONDS = 2.0
TASK_LEASE_MARGIN_SECONDS = 1.0


class Engine:
    """Own an entry instance's state and handle the messages that change it.

    The state consists of the folds of the log's streams, the view lease, the
    dispatcher, and the escrow with this instance's units of the team limits.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        decisions: DecisionLog,
        writer_inbox: "asyncio.Queue[AppendRequest]",
        peer_outbox: "asyncio.Queue[OutgoingFrame]",
    ) -> None:
        """Start without a configuration; requires a running event loop."""
        self.settings = settings
        # A function that returns monotonic time in seconds.
        self.now = asyncio.get_running_loop().time
        self.decisions = decisions
        self.inbox: asyncio.Queue[object] = asyncio.Queue()
        self.config = CheckpointedFold(CONFIG_FOLD)
        retention = settings.platform.log_retention_seconds
        self.journal = Journal(retention / KEY_VALIDITIES_PER_RETENTION)
        self.is_journal_read = False
        self.is_journal_failing = False
        self.view = ConfigView(-1)
        self.config_results: Waiters[ApplyResult] = Waiters()
        self.journal_reads: Waiters[bool] = Waiters()
        self.outcomes: Waiters[RecordedOutcome] = Waiters()
        self.next_steps: Waiters[RequestStep] = Waiters()
        self.budgets: dict[str, AvailabilityBudget] = {}
        self.results_by_code: Counter[int] = Counter()
        self.registry = CollectorRegistry()
        self.registry.register(EngineCollector(self))
        self.is_stopping = False
        # Callbacks into parts of the process that are created after the engine.
        self.on_cancel: Callable[[str, str], None] = lambda request, team: None
        self.on_deferred_page: Callable[[PageRead], None] = lambda read: None
        self.read_traffic: Callable[[], Traffic] = Traffic
        self._writer_inbox = writer_inbox
        self.peers = PeerExchange(self, peer_outbox)
        self._request_numbers = itertools.count(1)
        self._tombstoned_intents: dict[str, Intent] = {}
        # Upstreams that the platform lists as leaving or gone.
        self.unavailable_instances: frozenset[str] = frozenset()
        self.demands = DemandTable(settings.instance.id)
        self._heartbeat_sent_at = float("-inf")
        self._shares_updated_at = float("-inf")
        self._records_written_at = float("-inf")
        self._checkpoints = CheckpointWriter(self)
        self._random = Random()
        self.cluster = self._make_participant()
        self.dispatcher = Dispatcher(
            settings.instance.zone, self.cluster.escrow, self._random, DispatchPolicy()
        )

    @property
    def incarnation(self) -> str:
        """Return the ID of this process in messages to peers and in the log."""
        return self.cluster.incarnation

    def new_request_id(self) -> str:
        """Return a request ID that is unique across all instances."""
        return f"{self.incarnation}-{next(self._request_numbers)}"

    def is_ready(self) -> bool:
        """Return whether the balancer may route callers to this instance."""
        has_config = self.view.revision != ABSENT
        may_run = self.may_run_team_work()
        return (
            may_run
            and has_config
            and self.cluster.owns_slots()
            and not self.is_stopping
        )

    def may_run_team_work(self) -> bool:
        """Return whether this instance may still use its units of the team limits."""
        return self.cluster.may_run(self.now())

    async def run(self) -> None:
        """Handle messages from the inbox until cancelled."""
        while True:
            self._handle(await self.inbox.get())

    def tick(self) -> None:
        """Run the periodic work that is due."""
        now = self.now()
        if now - self._records_written_at >= self.settings.timing.beat_seconds / 2:
            self._records_written_at = now
            self._write_due_records(now)
        if now - self._heartbeat_sent_at >= self.settings.timing.beat_seconds:
            self._heartbeat_sent_at = now
            self.peers.send_heartbeats(now)
        if now - self._shares_updated_at >= self.settings.timing.beat_seconds / 4:
            self._shares_updated_at = now
            self._update_shares(now)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the waiting requests that have capacity now."""
        if not self.dispatcher.has_waiting() or not self.may_run_team_work():
            return
        for start in self.dispatcher.start_waiting(self.now()):
            self._deliver_start(start)

    def draining_in_flight(self) -> dict[str, int]:
        """Return the requests in flight from here on upstreams that get no new work."""
        placements = self.view.placements_by_instance
        counts = {
            name: self.dispatcher.in_flight(name)
            for name in placements
            if not self.view.is_serving(name)
        }
        return {name: count for name, count in counts.items() if count}

    def demand_by_pool(self) -> dict[str, float]:
        """Return each pool's demand in slots, over all entry instances."""
        totals = {
            name: float(sum(self.demands.by_team(name).values()))
            for name in self.dispatcher.pools
        }
        for line in self.dispatcher.demand():
            totals[line.pool] += line.waiting + line.running
        return totals

    def start_waiting_soon(self) -> None:
        """Schedule `start_waiting` for after the calling task has started to wait."""
        asyncio.get_running_loop().call_soon(self.start_waiting)

    def write(self, stream: str, payload: str) -> None:
        """Queue a record for the log writer."""
        self._writer_inbox.put_nowait(AppendRequest(stream, payload))

    def tombstone_intent(self, intent: Intent) -> None:
        """Write a tombstone for an intent, and again if the intent is read back later.

        The tombstone records that the request did not run. The intent's own write may
        still be in progress, so a tombstone that is written only once could precede it.
        """
        self._tombstoned_intents[intent.id] = intent
        self._write_tombstone(intent)

    def count_result(self, service: str, code: ResultCode) -> None:
        """Count a result, also against the service's availability budget."""
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
            case Heartbeat():
                self.peers.handle_heartbeat(message)
            case FetchState():
                self.peers.send_state(message)
            case StateReply():
                self.peers.adopt_state(message)
            case UnavailableInstances():
                self.unavailable_instances = message.leaving | message.gone
                self.dispatcher.set_leaving(self.unavailable_instances)
                self.cluster.tracker.set_terminated(set(message.gone))
            case Cancel():
                self.on_cancel(message.request, message.team)
            case ReadFailed():
                if message.stream == JOURNAL_STREAM:
                    self.is_journal_failing = True

    def _handle_page(self, read: PageRead) -> None:
        page = read.page
        if page.records:
            self._checkpoints.record_oldest(read.stream, page.records[0].appended_at)
        if read.stream == CONFIG_STREAM:
            self._handle_config_page(read)
        elif read.stream == MEMBERSHIP_STREAM:
            self.cluster.apply_page(page, read.requested_at)
            self.update_escrow()
        elif read.stream == JOURNAL_STREAM:
            self._handle_journal_page(read)
        else:
            self.on_deferred_page(read)

    def _handle_config_page(self, read: PageRead) -> None:
        self.config.skip_to(read.page.first_offset)
        self.apply_config_changes(self.config.feed(read.page.records))
        if self.config.is_caught_up(read.page.next_offset):
            self.cluster.view_lease.record_config_read(read.requested_at)

    def _handle_journal_page(self, read: PageRead) -> None:
        self.is_journal_failing = False
        for record in self.journal.feed(read.page.records):
            if isinstance(record, RecordedOutcome):
                self._tombstoned_intents.pop(record.intent, None)
                self.outcomes.resolve(record.key, record)
                continue
            self.journal_reads.resolve(record.id, self.journal.is_current(record))
            if record.id in self._tombstoned_intents and self.journal.is_current(
                record
            ):
                self._write_tombstone(record)
        end_offset = read.page.records[-1].offset + 1 if read.page.records else 0
        if not read.page.records or end_offset >= read.page.next_offset:
            self.is_journal_read = True

    def _write_tombstone(self, intent: Intent) -> None:
        record = RecordedOutcome(
            f"{intent.id}.void", intent.key, intent.id, int(ResultCode.LOG_UNAVAILABLE)
        )
        self.write(JOURNAL_STREAM, encode_journal_record(record))

    def apply_config_changes(self, results: list[ApplyResult]) -> None:
        """Pass results to their waiters, and apply a new configuration revision."""
        for result in results:
            self.config_results.resolve(result.record_id, result)
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

    def update_escrow(self) -> None:
        """Pass the current escrow to the dispatcher; each incarnation has its own."""
        if self.dispatcher.escrow is not self.cluster.escrow:
            self.decisions.info("rejoining", incarnation=self.incarnation)
            self.dispatcher.set_escrow(self.cluster.escrow)

    def _write_due_records(self, now: float) -> None:
        cluster = self.cluster
        for record in cluster.due_records(now):
            self.write(MEMBERSHIP_STREAM, encode_member_record(record))
        if cluster.is_coordinator(now):
            self._checkpoints.write_due(time())

    def _update_shares(self, now: float) -> None:
        self.demands.expire(now - MAX_DEMAND_AGE_SECONDS)
        reachable_members = self.cluster.count_reachable(now)
        teams = self.view.teams_by_name
        limits = {name: team.limit for name, team in teams.items()}
        own_demand_by_pool: dict[str, dict[str, int]] = {}
        for line in self.dispatcher.demand():
            own_demand_by_pool.setdefault(line.pool, {})[line.team] = (
                line.waiting + line.running
            )
        for name, pool in self.dispatcher.pools.items():
            own_demand = own_demand_by_pool.get(name, {})
            peer_demand = self.demands.by_team(name)
            weights = {
                team: self.dispatcher.share_of(team)
                for team in {*own_demand, *peer_demand}
            }
            pool.shares = compute_pool_shares(
                pool.capacity,
                own_demand,
                peer_demand,
                self.demands.preceding_by_team(name),
                weights,
                limits,
                max(1, reachable_members),
            )

    def _deliver_start(self, start: Start) -> None:
        if not self.next_steps.resolve(start.attempt.request, start):
            # The request stopped waiting in the meantime, so nothing was sent.
            self.dispatcher.handle_result(
                start.attempt, AttemptResult.NOT_RECORDED, self.now()
            )
