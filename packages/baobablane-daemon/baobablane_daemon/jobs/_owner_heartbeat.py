"""Encode and decode the heartbeats of the owner."""

import math
from dataclasses import dataclass

import msgspec

from ._lease_bounds import LeaseBounds, UpstreamBound

NO_BOUNDS = LeaseBounds()


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
    # Counted from 0 in each epoch.
    number: int = 0
    lease_bounds: LeaseBounds = NO_BOUNDS
    # When it was first read, if `received_at` is by the timestamp, whose clock may
    # differ from this one.
    read_at: float | None = None

    def is_older_than(self, other: "OwnerHeartbeat") -> bool:
        """Return whether `other` was sent later.

        Two topics have heartbeats, and either may be behind.
        """
        return (self.epoch, self.number) < (other.epoch, other.number)


def make_holder(instance: str, started_ns: int) -> str:
    """Return the unique name of a process; `started_ns` is the time of its start.

    It is unique per start, since a claim of an earlier process may still be read.
    """
    return f"{instance}-{started_ns}"


def holder_instance(holder: str) -> str:
    """Return the entry instance of a name that `make_holder` returned."""
    return holder.rpartition("-")[0]


class _HeartbeatRecord(msgspec.Struct, omit_defaults=True):
    at_ms: int
    epoch: int
    holder: str
    is_large: bool
    is_leaving: bool = False
    number: int = 0
    lease_bounds: dict[str, UpstreamBound] = {}
    earlier_renewal_age_ms: int | None = None
    settled_ms: int = 0


def encode_owner_heartbeat(
    at_ms: int,
    epoch: int,
    holder: str,
    is_large: bool,
    is_leaving: bool = False,
    number: int = 0,
    lease_bounds: LeaseBounds = NO_BOUNDS,
) -> bytes:
    """Return the record of a heartbeat; `at_ms` is in Unix milliseconds."""
    renewal_age = lease_bounds.earlier_renewal_age
    return msgspec.json.encode(
        _HeartbeatRecord(
            at_ms,
            epoch,
            holder,
            is_large,
            is_leaving,
            number,
            dict(lease_bounds.by_upstream),
            None if renewal_age is None else math.floor(renewal_age * 1000),
            lease_bounds.settled_ms,
        )
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
        read_at: float | None = now
    elif _identity(heartbeat) == _identity(previous):
        # The topic was read again from the start.
        received_at = previous.received_at
        read_at = previous.read_at
    else:
        # The owner's clock may differ from this one, so the time of arrival is used.
        received_at, read_at = now, None
    renewal_age_ms = heartbeat.earlier_renewal_age_ms
    return OwnerHeartbeat(
        received_at,
        heartbeat.at_ms,
        heartbeat.epoch,
        heartbeat.holder,
        heartbeat.is_large,
        heartbeat.is_leaving,
        heartbeat.number,
        LeaseBounds(
            heartbeat.lease_bounds,
            None if renewal_age_ms is None else renewal_age_ms / 1000,
            heartbeat.settled_ms,
        ),
        read_at,
    )


def _identity(heartbeat: OwnerHeartbeat | _HeartbeatRecord) -> tuple[int, int, int]:
    return heartbeat.epoch, heartbeat.number, heartbeat.at_ms
