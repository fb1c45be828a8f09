"""Define the record of the upstream that an instance runs."""

import msgspec


class Host(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the latest upstream that was listed as up on an instance."""

    upstream: str
    pool: str
    # When it was first listed, in Unix milliseconds of the owner's clock.
    listed_ms: int
    # Whether it has announced that it will stop.
    is_draining: bool = False


def encode_host(host: Host) -> bytes:
    """Return the record of an instance's upstream."""
    return msgspec.json.encode(host)


def decode_host(record: bytes) -> Host:
    """Return the upstream of a record, or raise msgspec.DecodeError."""
    return msgspec.json.decode(record, type=Host)
