"""Show that there is an owner."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class OwnerSign:
    """Hold what an owner last showed of itself."""

    # Seconds of this process's steady clock.
    heard_at: float
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


class _Record(msgspec.Struct):
    at_ms: int
    epoch: int
    holder: str
    is_large: bool
    is_leaving: bool = False


def encode_owner_sign(
    at_ms: int, epoch: int, holder: str, is_large: bool, is_leaving: bool = False
) -> bytes:
    """Return the record that an owner writes at a Unix millisecond."""
    return msgspec.json.encode(_Record(at_ms, epoch, holder, is_large, is_leaving))


def decode_owner_sign(
    record: bytes, before: OwnerSign | None, unix_ms: int, now: float
) -> OwnerSign:
    """Return the sign of a record read now, or raise msgspec.DecodeError.

    `before` is the sign that this process knew; `unix_ms` is its time of day.
    """
    sign = msgspec.json.decode(record, type=_Record)
    if before is None:
        # It may be of an owner that was gone before this process started.
        heard_at = now - max(0.0, (unix_ms - sign.at_ms) / 1000)
    elif (sign.epoch, sign.at_ms) == (before.epoch, before.at_ms):
        # The topic was read anew.
        heard_at = before.heard_at
    else:
        # The owner's time of day may differ, so its record's arrival counts.
        heard_at = now
    return OwnerSign(
        heard_at, sign.at_ms, sign.epoch, sign.holder, sign.is_large, sign.is_leaving
    )
