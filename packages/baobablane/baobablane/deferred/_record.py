"""Define the records of the stream of deferred jobs."""

import msgspec

from ..log import decode_payload, encode_payload


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Keep a job until it is finished."""

    job: str
    team: str
    queue: str
    content_type: str
    body: bytes


class Claimed(msgspec.Struct, frozen=True, tag="claimed"):
    """Announce that a member is about to run a job."""

    id: str
    job: str
    owner: str
    # The claim that this one takes the place of, empty for the first.
    replaces: str = ""


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """Tell what became of a job."""

    job: str
    code: int
    status: int = 0
    content_type: str = ""
    # None where the answer was too large to keep.
    body: bytes | None = b""


class JobCopy(msgspec.Struct, frozen=True, tag="carried"):
    """Repeat an unfinished job before its older records expire."""

    accepted: Accepted
    # The claim in force when all records before `next_offset` were folded.
    claim: Claimed | None
    next_offset: int


DeferredRecord = Accepted | Claimed | Finished | JobCopy

_decoder = msgspec.json.Decoder(DeferredRecord)


def encode_record(record: DeferredRecord) -> str:
    """Return a record as the log stores it."""
    return encode_payload(record)


def decode_record(payload: str) -> DeferredRecord | None:
    """Return a stored record, or None where it is not valid."""
    return decode_payload(_decoder, payload)
