"""Define the records of the journal stream."""

import msgspec

from ..log import decode_payload, encode_payload


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """Announce that a request with an idempotency key is about to be sent."""

    id: str
    key: str
    fingerprint: str
    owner: str
    # The log's time, in seconds since the epoch, at which the key ends.
    expires_at: float


class RecordedOutcome(msgspec.Struct, frozen=True, tag="outcome"):
    """Tell what became of the request that an intent announced."""

    id: str
    key: str
    intent: str
    code: int
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


JournalRecord = Intent | RecordedOutcome

_decoder = msgspec.json.Decoder(JournalRecord)


def encode_record(record: JournalRecord) -> str:
    """Return a record as the log stores it."""
    return encode_payload(record)


def decode_record(payload: str) -> JournalRecord | None:
    """Return a stored record, or None where it is not valid."""
    return decode_payload(_decoder, payload)
