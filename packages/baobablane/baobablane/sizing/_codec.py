"""Encode and decode the record of the starts of demand bursts."""

import msgspec

BurstStarts = list[tuple[float, str]]


def encode_burst_starts(burst_starts: BurstStarts) -> bytes:
    """Return the record of burst starts, as (Unix seconds, pool) pairs."""
    return msgspec.json.encode(burst_starts)


def decode_burst_starts(record: bytes) -> BurstStarts:
    """Return the burst starts of a record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=BurstStarts)
