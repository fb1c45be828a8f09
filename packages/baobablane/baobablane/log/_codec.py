"""Encode and decode records as the log stores them."""

from typing import TypeVar

import msgspec

R = TypeVar("R")

_encoder = msgspec.json.Encoder()


def encode_payload(record: msgspec.Struct) -> str:
    """Return a record as the log stores it."""
    return _encoder.encode(record).decode()


def decode_payload(decoder: msgspec.json.Decoder[R], payload: str) -> R | None:
    """Return a stored record, or None where it is not valid."""
    try:
        return decoder.decode(payload)
    except msgspec.DecodeError:
        return None
