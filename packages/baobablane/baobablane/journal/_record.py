"""Define the records of the journal stream."""

import msgspec

from ..log import decode_payload, encode_payload


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """Announce that a request with an idempotency key is about to be sent."""

    id: str
    key: str
    # Digest of the request's body, which detects reuse of the key for another request.
    fingerprint: str
    # Incarnation of the entry instance that runs the request.
    owner: str
    # Expiry of the key on the log's clock, in seconds since the Unix epoch.
    expires_at: float


class RecordedOutcome(msgspec.Struct, frozen=True, tag="outcome"):
    """Record the outcome of the request that an intent announced."""

    id: str
    key: str
    # ID of the intent.
    intent: str
    # Result code as a number.
    code: int
    status: int = 0
    content_type: str = ""
    # None if there was no answer or it was too large to store.
    body: bytes | None = None


JournalRecord = Intent | RecordedOutcome

_decoder = msgspec.json.Decoder(JournalRecord)


def encode_record(record: JournalRecord) -> str:
    """Encode a record in the log's format."""
    return encode_payload(record)


def decode_record(payload: str) -> JournalRecord | None:
    """Decode a stored record, or return None if it is invalid."""
    return decode_payload(_decoder, payload)
