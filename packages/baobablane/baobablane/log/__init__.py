"""Re-export the log's records, their codec, and the fold of a stream."""

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
