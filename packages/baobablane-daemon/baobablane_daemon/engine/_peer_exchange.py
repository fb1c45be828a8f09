"""Exchange heartbeats, state and cancellations with the other entry instances."""

import asyncio
from typing import TYPE_CHECKING

from baobablane.cluster import PeerHeartbeat
from baobablane.config import CONFIG_FOLD, encode_record, make_checkpoint
from baobablane.fleet import DrainReport
from baobablane.membership import MEMBERSHIP_FOLD
from baobablane.membership import encode_record as encode_member_record
from baobablane.membership import make_checkpoint as make_member_checkpoint

from ..tasks import (
    Cancel,
    FetchState,
    Heartbeat,
    OutgoingFrame,
    StateReply,
    encode_message,
)

if TYPE_CHECKING:
    from ._engine import Engine

FETCH_INTERVAL_SECONDS = 0.5


class PeerExchange:
    """Send messages to peers and process those received."""

    def __init__(
        self, engine: "Engine", outbox: "asyncio.Queue[OutgoingFrame]"
    ) -> None:
        """Queue an engine's messages in `outbox`."""
        self._engine = engine
        self._outbox = outbox
        self._latest_sent_at: dict[str, float] = {}
        self._fetched_at = float("-inf")
        self.drain_reports: dict[str, DrainReport] = {}

    def send_heartbeats(self, now: float) -> None:
        """Rebalance team units, then send a heartbeat to every other active member."""
        if not self._engine.cluster.state.is_active(self._engine.incarnation):
            return
        waiting = self._engine.dispatcher.waiting_at_team_limit()
        self._engine.cluster.rebalance_units(waiting, now)
        demand = tuple(self._engine.dispatcher.demand())
        draining = self._engine.draining_in_flight()
        instance = self._engine.settings.instance
        escrow = self._engine.cluster.escrow
        for peer in self._engine.cluster.peers():
            heartbeat = Heartbeat(
                sender=self._engine.incarnation,
                instance=instance.id,
                host=str(instance.host),
                port=instance.peers_port,
                sent_at=now,
                echoed_at=self._latest_sent_at.get(peer.incarnation, float("-inf")),
                config_next=self._engine.config.next_offset,
                membership_next=self._engine.cluster.fold.next_offset,
                revision=self._engine.view.revision,
                demand=demand,
                ledger=escrow.ledger_for(peer.incarnation, waiting),
                draining=draining,
            )
            self._send(
                peer.address.host, peer.address.peer_port, encode_message(heartbeat)
            )

    def _send(self, host: str, port: int, frame: bytes) -> None:
        self._outbox.put_nowait(OutgoingFrame(host, port, frame))

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat, and fetch the peer's state if it is ahead in the log."""
        now = self._engine.now()
        self._latest_sent_at[heartbeat.sender] = heartbeat.sent_at
        peer_heartbeat = PeerHeartbeat(
            heartbeat.sender,
            heartbeat.instance,
            heartbeat.echoed_at if self._engine.config.is_complete else float("-inf"),
            heartbeat.config_next,
            heartbeat.membership_next,
            heartbeat.ledger,
        )
        if self._engine.cluster.receive_heartbeat(
            peer_heartbeat, self._engine.config.next_offset, now
        ):
            self.drain_reports[heartbeat.sender] = DrainReport(
                heartbeat.revision, now, heartbeat.draining
            )
            self._engine.demands.report(heartbeat.instance, heartbeat.demand, now)
        self._fetch_if_behind(heartbeat, now)

    def _fetch_if_behind(self, heartbeat: Heartbeat, now: float) -> None:
        ahead = (
            heartbeat.config_next > self._engine.config.next_offset
            or heartbeat.membership_next > self._engine.cluster.fold.next_offset
        )
        if not ahead or now - self._fetched_at < FETCH_INTERVAL_SECONDS:
            return
        self._fetched_at = now
        instance = self._engine.settings.instance
        sender = self._engine.incarnation
        message = FetchState(sender, str(instance.host), instance.peers_port)
        self._send(heartbeat.host, heartbeat.port, encode_message(message))

    def send_state(self, message: FetchState) -> None:
        """Send checkpoints of this instance's folds to a peer that is behind."""
        if not (
            self._engine.config.is_complete and self._engine.cluster.fold.is_complete
        ):
            return
        config_next = self._engine.config.next_offset
        member_next = self._engine.cluster.fold.next_offset
        config = make_checkpoint(self._engine.config.state, config_next - 1, "peer")
        state = self._engine.cluster.state
        membership = make_member_checkpoint(state, member_next - 1, "peer")
        reply = StateReply(
            self._engine.incarnation,
            config_next,
            encode_record(config),
            member_next,
            encode_member_record(membership),
        )
        self._send(message.host, message.port, encode_message(reply))

    def adopt_state(self, reply: StateReply) -> None:
        """Replace the folds with a peer's checkpoints where those are newer."""
        config = CONFIG_FOLD.decode(reply.config)
        if config is not None and self._engine.config.adopt(config, reply.config_next):
            self._engine.apply_config_changes([])
        membership = MEMBERSHIP_FOLD.decode(reply.membership)
        if membership is not None:
            self._engine.cluster.adopt_checkpoint(membership, reply.membership_next)
            self._engine.update_escrow()

    def send_cancel(self, request: str, team: str) -> None:
        """Forward a caller's cancellation to all peers."""
        frame = encode_message(Cancel(self._engine.incarnation, request, team))
        for peer in self._engine.cluster.peers():
            self._send(peer.address.host, peer.address.peer_port, frame)
