"""Encode and decode records in the log's format."""

from typing import TypeVar

import msgspec

RecordT = TypeVar("RecordT")

_encoder = msgspec.json.Encoder()


def encode_payload(record: msgspec.Struct) -> str:
    """Encode a record in the log's format."""
    return _encoder.encode(record).decode()


def decode_payload(
    decoder: msgspec.json.Decoder[RecordT], payload: str
) -> RecordT | None:
    """Decode a stored record, or return None if it is invalid."""
    try:
        return decoder.decode(payload)
    except msgspec.DecodeError:
        return None
