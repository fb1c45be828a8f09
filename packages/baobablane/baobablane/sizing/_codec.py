"""Encode what is recorded of the turns of pools."""

import msgspec

BurstStarts = list[tuple[float, str]]


def encode_burst_starts(burst_starts: BurstStarts) -> bytes:
    """Return the record of the rises of pools' demand."""
    return msgspec.json.encode(burst_starts)


def decode_burst_starts(record: bytes) -> BurstStarts:
    """Return the rises of a record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=BurstStarts)
