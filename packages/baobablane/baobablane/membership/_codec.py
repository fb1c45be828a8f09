"""Encode and decode the records of the membership stream."""

import msgspec

from ..log import FoldRules
from ._fold import MembershipState, MemberVerdict, apply_record, restore_checkpoint
from ._record import MembershipCheckpoint, MembershipRecord

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(MembershipRecord)


def encode_record(record: MembershipRecord) -> str:
    """Return a record as the log stores it."""
    return _encoder.encode(record).decode()


def decode_record(payload: str) -> MembershipRecord | None:
    """Return a stored record, or None where it is not valid."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return None


def _checkpoint_offset(record: MembershipRecord) -> int | None:
    return record.offset if isinstance(record, MembershipCheckpoint) else None


def _is_newer(first: MembershipState, second: MembershipState) -> bool:
    return first.version >= second.version


MEMBERSHIP_FOLD: FoldRules[MembershipState, MembershipRecord, MemberVerdict] = (
    FoldRules(
        empty=MembershipState(),
        decode=decode_record,
        apply=apply_record,
        checkpoint_offset=_checkpoint_offset,
        restore=restore_checkpoint,
        is_newer=_is_newer,
    )
)
