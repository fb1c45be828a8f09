"""Encode what is recorded of the turns of pools."""

import msgspec

Rises = list[tuple[float, str]]


def encode_rises(rises: Rises) -> bytes:
    """Return the record of the rises of pools' demand."""
    return msgspec.json.encode(rises)


def decode_rises(record: bytes) -> Rises:
    """Return the rises of a record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=Rises)
