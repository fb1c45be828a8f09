"""Encode and decode the heartbeats of the owner."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class OwnerHeartbeat:
    """Describe the latest heartbeat of an owner."""

    # Seconds of this process's monotonic clock.
    received_at: float
    # Time of sending, in Unix milliseconds of the owner's clock.
    at_ms: int
    # Increases with each owner.
    epoch: int
    # Unique name of the owner's process.
    holder: str
    # Whether the owner's instance has the resources for a full fleet.
    is_large: bool
    # Whether the owner has stopped placing tasks and gives up the ownership.
    is_leaving: bool = False


def make_holder(instance: str, started_ns: int) -> str:
    """Return the unique name of a process; `started_ns` is the time of its start.

    It is unique per start, since a claim of an earlier process may still be read.
    """
    return f"{instance}-{started_ns}"


def holder_instance(holder: str) -> str:
    """Return the entry instance of a name that `make_holder` returned."""
    return holder.rpartition("-")[0]


class _HeartbeatRecord(msgspec.Struct):
    at_ms: int
    epoch: int
    holder: str
    is_large: bool
    is_leaving: bool = False


def encode_owner_heartbeat(
    at_ms: int, epoch: int, holder: str, is_large: bool, is_leaving: bool = False
) -> bytes:
    """Return the record of a heartbeat; `at_ms` is in Unix milliseconds."""
    return msgspec.json.encode(
        _HeartbeatRecord(at_ms, epoch, holder, is_large, is_leaving)
    )


def decode_owner_heartbeat(
    record: bytes, previous: OwnerHeartbeat | None, unix_ms: int, now: float
) -> OwnerHeartbeat:
    """Return the heartbeat in a record, or raise msgspec.DecodeError.

    `previous` is the latest heartbeat that this process has read. `unix_ms` is the
    current time in Unix milliseconds, `now` the seconds of the monotonic clock.
    """
    heartbeat = msgspec.json.decode(record, type=_HeartbeatRecord)
    if previous is None:
        # It may come from an owner that was lost before this process started.
        received_at = now - max(0.0, (unix_ms - heartbeat.at_ms) / 1000)
    elif (heartbeat.epoch, heartbeat.at_ms) == (previous.epoch, previous.at_ms):
        # The topic was read again from the start.
        received_at = previous.received_at
    else:
        # The owner's clock may differ from this one, so the time of arrival is used.
        received_at = now
    return OwnerHeartbeat(
        received_at,
        heartbeat.at_ms,
        heartbeat.epoch,
        heartbeat.holder,
        heartbeat.is_large,
        heartbeat.is_leaving,
    )
