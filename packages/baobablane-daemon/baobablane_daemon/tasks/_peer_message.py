"""Define the messages between entry instances."""

import msgspec
from baobablane.limits import Ledger
from baobablane.shares import DemandLine

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 4_000_000


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Carry a heartbeat with positions, demand and loans."""

    sender: str
    instance: str
    # Where the sender listens; a receiver may not have read yet that it joined.
    host: str
    port: int
    # Monotonic time of the sender in seconds, and the latest heard from the receiver.
    sent_at: float
    echoed_at: float
    config_next: int
    membership_next: int
    revision: int
    demand: tuple[DemandLine, ...]
    ledger: Ledger
    # Work in flight on upstreams that get nothing new.
    draining: dict[str, int] = {}


class FetchState(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Ask a peer that has read further for its state."""

    sender: str
    host: str
    port: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Carry checkpoints of a peer's folds and the offsets that follow them."""

    sender: str
    config_next: int
    config: str
    membership_next: int
    membership: str


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Pass a caller's cancellation on."""

    sender: str
    request: str
    team: str


PeerMessage = Heartbeat | FetchState | StateReply | Cancel

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message with its version as one frame."""
    return bytes([MESSAGE_VERSION]) + _encoder.encode(message)


def decode_message(frame: bytes) -> PeerMessage | None:
    """Return a message, or None where its version or form is not known."""
    if not frame or frame[0] != MESSAGE_VERSION:
        return None
    try:
        return _decoder.decode(frame[1:])
    except msgspec.DecodeError:
        return None
