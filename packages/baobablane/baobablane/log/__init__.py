"""Re-export the log's record and the anchoring of a fold in a limited log."""

from ._anchor import AnchoredFold, FoldRules
from ._codec import decode_payload, encode_payload
from ._record import LogPage, LogRecord

__all__ = [
    "AnchoredFold",
    "FoldRules",
    "LogPage",
    "LogRecord",
    "decode_payload",
    "encode_payload",
]
