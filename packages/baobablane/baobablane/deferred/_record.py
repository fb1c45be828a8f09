"""Define the records of the deferred jobs' stream."""

import msgspec

from ..log import decode_payload, encode_payload


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Record a job that must be kept until it is finished."""

    job: str
    team: str
    queue: str
    content_type: str
    body: bytes


class Claimed(msgspec.Struct, frozen=True, tag="claimed"):
    """Announce that a member is about to run a job."""

    id: str
    job: str
    # Incarnation of the claiming member.
    owner: str
    # ID of the claim that this one replaces, empty for the first claim.
    replaces: str = ""


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """Record the outcome of a job."""

    job: str
    code: int
    status: int = 0
    content_type: str = ""
    # None if the answer was too large to store.
    body: bytes | None = b""


class JobCopy(msgspec.Struct, frozen=True, tag="carried"):
    """Repeat an unfinished job before its older records expire."""

    accepted: Accepted
    # The current claim after all records before `next_offset`.
    claim: Claimed | None
    next_offset: int


DeferredRecord = Accepted | Claimed | Finished | JobCopy

_decoder = msgspec.json.Decoder(DeferredRecord)


def encode_record(record: DeferredRecord) -> str:
    """Encode a record in the log's format."""
    return encode_payload(record)


def decode_record(payload: str) -> DeferredRecord | None:
    """Decode a stored record, or return None if it is invalid."""
    return decode_payload(_decoder, payload)
