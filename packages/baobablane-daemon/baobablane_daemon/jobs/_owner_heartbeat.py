"""Show that there is an owner."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class OwnerHeartbeat:
    """Hold what an owner last showed of itself."""

    # Seconds of this process's steady clock.
    received_at: float
    # Unix milliseconds by the owner's time of day.
    at_ms: int
    # Rises with each owner.
    epoch: int
    # Name of its process.
    holder: str
    # Whether its instance can carry the owner of a full fleet.
    is_large: bool
    # It has stopped placing tasks and gives up the ownership.
    is_leaving: bool = False


class _HeartbeatRecord(msgspec.Struct):
    at_ms: int
    epoch: int
    holder: str
    is_large: bool
    is_leaving: bool = False


def encode_owner_heartbeat(
    at_ms: int, epoch: int, holder: str, is_large: bool, is_leaving: bool = False
) -> bytes:
    """Return the record that an owner writes at a Unix millisecond."""
    return msgspec.json.encode(
        _HeartbeatRecord(at_ms, epoch, holder, is_large, is_leaving)
    )


def decode_owner_heartbeat(
    record: bytes, previous: OwnerHeartbeat | None, unix_ms: int, now: float
) -> OwnerHeartbeat:
    """Return the sign of a record read now, or raise msgspec.DecodeError.

    `before` is the sign that this process knew; `unix_ms` is its time of day.
    """
    heartbeat = msgspec.json.decode(record, type=_HeartbeatRecord)
    if previous is None:
        # It may be of an owner that was gone before this process started.
        received_at = now - max(0.0, (unix_ms - heartbeat.at_ms) / 1000)
    elif (heartbeat.epoch, heartbeat.at_ms) == (previous.epoch, previous.at_ms):
        # The topic was read anew.
        received_at = previous.received_at
    else:
        # The owner's time of day may differ, so its record's arrival counts.
        received_at = now
    return OwnerHeartbeat(
        received_at,
        heartbeat.at_ms,
        heartbeat.epoch,
        heartbeat.holder,
        heartbeat.is_large,
        heartbeat.is_leaving,
    )
