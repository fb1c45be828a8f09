"""Define the messages between entry instances."""

import msgspec
from baobablane.limits import Ledger
from baobablane.shares import DemandLine

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 4_000_000


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Report that the sender runs, its log positions, its demand and its ledger."""

    # Incarnation of the sender.
    sender: str
    instance: str
    # The sender's address; the receiver may not have read yet that the sender joined.
    host: str
    port: int
    # Monotonic times in seconds: this send time by the sender's clock, and the latest
    # `sent_at` that the sender got from the receiver, by the receiver's clock.
    sent_at: float
    echoed_at: float
    # Offsets of the next records that the sender will read in each stream.
    config_next: int
    membership_next: int
    revision: int
    demand: tuple[DemandLine, ...]
    # Units of the team limits that the sender has lent to the receiver, has returned to
    # it, and wants from it.
    ledger: Ledger
    # Requests in flight by upstream, for upstreams that get no new work.
    draining: dict[str, int] = {}


class FetchState(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Request the state of the receiver, which has read more of the log."""

    sender: str
    host: str
    port: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Carry checkpoints of the sender's folds and the next offset after each."""

    sender: str
    config_next: int
    config: str
    membership_next: int
    membership: str


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Forward a caller's cancellation."""

    sender: str
    request: str
    team: str


PeerMessage = Heartbeat | FetchState | StateReply | Cancel

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as one frame that starts with the version byte."""
    return bytes([MESSAGE_VERSION]) + _encoder.encode(message)


def decode_message(frame: bytes) -> PeerMessage | None:
    """Decode a frame; return None if its version is unknown or it is malformed."""
    if not frame or frame[0] != MESSAGE_VERSION:
        return None
    try:
        return _decoder.decode(frame[1:])
    except msgspec.DecodeError:
        return None
