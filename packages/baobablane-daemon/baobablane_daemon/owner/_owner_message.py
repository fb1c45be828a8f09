"""Define what an owner sends directly to the instances that watch it."""

import msgspec

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 1000


class OwnerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Report how an owner reaches the store; ages are in seconds."""

    epoch: int
    # Unique name of the owner's process.
    holder: str
    # Since the store last confirmed the ownership.
    unconfirmed_for: float
    # For how long all of its writes have failed; zero while they don't.
    writes_failing_for: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(OwnerMessage)


def encode_owner_message(message: OwnerMessage) -> bytes:
    """Return a message as a frame that starts with the version byte."""
    return bytes([MESSAGE_VERSION]) + _encoder.encode(message)


def decode_owner_message(frame: bytes) -> OwnerMessage:
    """Return the message in a frame, or raise msgspec.DecodeError."""
    if not frame or frame[0] != MESSAGE_VERSION:
        raise msgspec.DecodeError(f"unknown version: {frame[:1]!r}")
    return _decoder.decode(frame[1:])
