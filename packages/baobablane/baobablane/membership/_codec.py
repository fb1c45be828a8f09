"""Encode and decode the records of the membership stream."""

import msgspec

from ..log import FoldFunctions, decode_payload, encode_payload
from ._fold import (
    MembershipApplyResult,
    MembershipState,
    apply_record,
    restore_checkpoint,
)
from ._record import MembershipCheckpoint, MembershipRecord

_decoder = msgspec.json.Decoder(MembershipRecord)


def encode_record(record: MembershipRecord) -> str:
    """Return a record as the JSON text that the log stores."""
    return encode_payload(record)


def decode_record(payload: str) -> MembershipRecord | None:
    """Return the record in a stored JSON text, or None if it is not valid."""
    return decode_payload(_decoder, payload)


def _checkpoint_offset(record: MembershipRecord) -> int | None:
    return record.offset if isinstance(record, MembershipCheckpoint) else None


def _is_not_older(first: MembershipState, second: MembershipState) -> bool:
    return first.version >= second.version


MEMBERSHIP_FOLD: FoldFunctions[
    MembershipState, MembershipRecord, MembershipApplyResult
] = FoldFunctions(
    empty=MembershipState(),
    decode=decode_record,
    apply=apply_record,
    checkpoint_offset=_checkpoint_offset,
    restore=restore_checkpoint,
    is_not_older=_is_not_older,
)
