"""Encode and decode the record of the latest order for an instance."""

import msgspec


class InstanceOrderRecord(msgspec.Struct, frozen=True):
    """Hold when an order was recorded, and which entry instance sent it."""

    # In Unix milliseconds of the sender's clock.
    at_ms: int
    # Empty in records of the earlier format, which held the time only.
    sender: str = ""


def encode_order_record(order: InstanceOrderRecord) -> bytes:
    """Return the record of an order."""
    return msgspec.json.encode(order)


def decode_order_record(record: bytes) -> InstanceOrderRecord:
    """Return the order of a record, or raise msgspec.DecodeError."""
    decoded = msgspec.json.decode(record, type=InstanceOrderRecord | int)
    return InstanceOrderRecord(decoded) if isinstance(decoded, int) else decoded
