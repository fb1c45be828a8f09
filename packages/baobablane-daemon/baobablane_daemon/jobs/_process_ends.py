"""Track which owners' processes have ended, as others have replaced them."""

import math

from ._owner_heartbeat import OwnerHeartbeat, holder_instance
from ._peer import Peer


class ProcessEnds:
    """Bound when the process of an owner ended, by the registrations of instances.

    An instance starts a process after the one before has ended. So a registration that
    another process made once it had read an owner's claim shows that the owner's
    process is over. No clock is compared.
    """

    def __init__(self) -> None:
        """Start without registrations."""
        # The latest one of each instance, and when it was read.
        self._read_by_instance: dict[str, tuple[Peer, float]] = {}

    def observe(self, instance: str, peer: Peer, now: float) -> None:
        """Note a registration that was read at a time on the monotonic clock."""
        known = self._read_by_instance.get(instance)
        # The topic may be read again from the start.
        if known is None or known[0] != peer:
            self._read_by_instance[instance] = (peer, now)

    def ended_by(self, heartbeat: OwnerHeartbeat) -> float:
        """Return when the sender of a heartbeat had ended, or infinity if unknown."""
        instance = holder_instance(heartbeat.holder)
        known = self._read_by_instance.get(instance)
        if known is None:
            return math.inf
        peer, read_at = known
        is_replaced = (
            holder_instance(peer.holder) == instance
            and peer.holder != heartbeat.holder
            # An earlier process of the instance had not read the claim.
            and peer.known_epoch >= heartbeat.epoch
        )
        return read_at if is_replaced else math.inf
