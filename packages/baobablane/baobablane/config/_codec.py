"""Encode and decode the records of the configuration stream."""

import msgspec

from ..log import FoldFunctions, decode_payload, encode_payload
from ._change import Checkpoint, ConfigRecord
from ._fold import ApplyResult, ConfigState, apply_record, restore_checkpoint

_decoder = msgspec.json.Decoder(ConfigRecord)


def encode_record(record: ConfigRecord) -> str:
    """Return a record as the JSON text that the log stores."""
    return encode_payload(record)


def decode_record(payload: str) -> ConfigRecord | None:
    """Return the record in a stored JSON text, or None if it is not valid."""
    return decode_payload(_decoder, payload)


def _checkpoint_offset(record: ConfigRecord) -> int | None:
    return record.offset if isinstance(record, Checkpoint) else None


def _is_not_older(first: ConfigState, second: ConfigState) -> bool:
    return first.revision >= second.revision


CONFIG_FOLD: FoldFunctions[ConfigState, ConfigRecord, ApplyResult] = FoldFunctions(
    empty=ConfigState(),
    decode=decode_record,
    apply=apply_record,
    checkpoint_offset=_checkpoint_offset,
    restore=restore_checkpoint,
    is_not_older=_is_not_older,
)
