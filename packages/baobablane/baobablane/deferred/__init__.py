"""Re-export deferred jobs, which may run late but are never lost."""

from ._job_table import DeferredJobState, DeferredJobTable
from ._record import (
    Accepted,
    Claimed,
    DeferredRecord,
    Finished,
    JobCopy,
    decode_record,
    encode_record,
)

__all__ = [
    "Accepted",
    "JobCopy",
    "Claimed",
    "DeferredRecord",
    "Finished",
    "DeferredJobState",
    "DeferredJobTable",
    "decode_record",
    "encode_record",
]
