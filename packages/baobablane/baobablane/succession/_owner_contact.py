"""Note what an instance sees of an owner without the store."""

from collections import deque

from ._owner_signs import OwnerSigns

# Of these latest messages, the longest gap shows how busy the owner is.
GAPS_KEPT = 50


class OwnerContact:
    """Hold the direct messages and the connection of one owner.

    Times are in seconds of one monotonic clock.
    """

    def __init__(self, epoch: int, holder: str) -> None:
        """Start without a message; `holder` is the unique name of the process."""
        self.epoch = epoch
        self.holder = holder
        self._message_count = 0
        self._received_at = float("-inf")
        self._unconfirmed_for = 0.0
        self._writes_failing_for = 0.0
        self._gaps: deque[float] = deque(maxlen=GAPS_KEPT)
        # When the connection was lost; None while there is one and before the first.
        self._disconnected_at: float | None = None

    def is_of(self, epoch: int, holder: str) -> bool:
        """Return whether these are the signs of an owner's process and epoch."""
        return (epoch, holder) == (self.epoch, self.holder)

    def note_message(
        self, now: float, unconfirmed_for: float, writes_failing_for: float
    ) -> None:
        """Note a message; both durations are in seconds, as the owner reports them."""
        if self._received_at != float("-inf"):
            self._gaps.append(now - self._received_at)
        self._message_count += 1
        self._received_at = now
        self._unconfirmed_for = unconfirmed_for
        self._writes_failing_for = writes_failing_for

    def note_connected(self) -> None:
        """Note that the owner's process has accepted a connection."""
        self._disconnected_at = None

    def note_disconnected(self, now: float) -> None:
        """Note that the connection was lost; later losses change nothing."""
        if self._disconnected_at is None:
            self._disconnected_at = now

    def signs(
        self, now: float, heartbeat_received_at: float, store_well_since: float
    ) -> OwnerSigns:
        """Return the ages of all signs, with that of the heartbeat in the store.

        `store_well_since` is since when this instance has read the store without a gap.
        """
        message_age = now - self._received_at
        has_message = self._received_at != float("-inf")
        return OwnerSigns(
            store_well_for=now - store_well_since,
            heartbeat_age=now - heartbeat_received_at,
            message_age=message_age,
            message_count=self._message_count,
            longest_message_gap=max(self._gaps, default=0.0),
            disconnected_for=None
            if self._disconnected_at is None
            else now - self._disconnected_at,
            unconfirmed_for=self._unconfirmed_for + message_age if has_message else 0.0,
            writes_failing_for=self._writes_failing_for,
        )
