"""Re-export the records of deferred jobs, kept until done, and the job table."""

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
