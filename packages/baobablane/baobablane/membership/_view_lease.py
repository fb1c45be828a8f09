"""Decide how long an instance may act on its last view of the streams."""

from dataclasses import dataclass

from ._quorum import quorum_size


@dataclass(frozen=True, slots=True)
class PeerPosition:
    """Store how far a peer had read when it replied to a message of this instance."""

    instance: str
    # Monotonic time of this instance, in seconds, at which it sent that message.
    sent_at: float
    # Offsets of the next records that the peer will read in each stream.
    config_next: int
    membership_next: int


class ViewLease:
    """Track when the view of both streams was last known to be current."""

    def __init__(self, lease_seconds: float, entry_instances: int) -> None:
        """Start without a confirmed view, for a fleet of `entry_instances`."""
        self._lease_seconds = lease_seconds
        self.entry_instances = entry_instances
        self._config_read_at = float("-inf")
        self._membership_read_at = float("-inf")
        self._peers_by_instance: dict[str, PeerPosition] = {}
        self._peers_confirmed_at = float("-inf")

    @property
    def confirmed_at(self) -> float:
        """Return when the view was last known to be current, in monotonic seconds."""
        log_confirmed_at = min(self._config_read_at, self._membership_read_at)
        return max(log_confirmed_at, self._peers_confirmed_at)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the view's lease is valid at a monotonic time in seconds."""
        return now - self.confirmed_at <= self._lease_seconds

    def record_config_read(self, requested_at: float) -> None:
        """Record when a read to the end of the configuration stream was requested."""
        self._config_read_at = max(self._config_read_at, requested_at)

    def record_membership_read(self, requested_at: float) -> None:
        """Record when a read to the end of the membership stream was requested."""
        self._membership_read_at = max(self._membership_read_at, requested_at)

    def record_peer_position(
        self, position: PeerPosition, config_next: int, membership_next: int
    ) -> None:
        """Record a peer's position; a majority with nothing newer confirms the view.

        `config_next` and `membership_next` are the offsets of the next records that
        this instance will read.
        """
        previous = self._peers_by_instance.get(position.instance)
        if previous is not None and previous.sent_at > position.sent_at:
            return
        self._peers_by_instance[position.instance] = position
        needed_peers = quorum_size(self.entry_instances) - 1
        sent_times = sorted(
            (
                peer.sent_at
                for peer in self._peers_by_instance.values()
                if peer.config_next <= config_next
                and peer.membership_next <= membership_next
            ),
            reverse=True,
        )
        if 0 < needed_peers <= len(sent_times):
            confirmed_at = sent_times[needed_peers - 1]
            self._peers_confirmed_at = max(self._peers_confirmed_at, confirmed_at)

    def remove_peer(self, instance: str) -> None:
        """Remove the position of a peer whose incarnation has ended."""
        self._peers_by_instance.pop(instance, None)
