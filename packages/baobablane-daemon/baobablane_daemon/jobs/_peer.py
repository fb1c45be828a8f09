"""Encode and decode where an entry instance can be watched."""

import msgspec


class Peer(msgspec.Struct, frozen=True):
    """Describe an entry instance that can be the owner of a full fleet."""

    # Of the form `host:port`.
    address: str
    # Unique name of the process; empty if its version does not tell it.
    holder: str = ""
    # The latest epoch that the process had read by then.
    known_epoch: int = 0


def encode_peer(peer: Peer) -> bytes:
    """Return the record of an instance."""
    return msgspec.json.encode(peer)


def decode_peer(record: bytes) -> Peer:
    """Return the instance in a record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=Peer)
