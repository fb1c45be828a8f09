"""Re-export the log's record and the anchoring of a fold in a limited log."""

from ._checkpointed_fold import CheckpointedFold, FoldFunctions
from ._codec import decode_payload, encode_payload
from ._record import LogPage, LogRecord

__all__ = [
    "CheckpointedFold",
    "FoldFunctions",
    "LogPage",
    "LogRecord",
    "decode_payload",
    "encode_payload",
]
