"""Re-export the backlog, run-time estimates, queue order and rejection by load."""

from ._account_load import AccountLoad
from ._backlog import Backlog, WaitingRequest
from ._class_floor import ClassFloor
from ._drain_meter import DrainMeter
from ._early_cancellation_limit import (
    early_cancellation_limit,
    may_keep_early_cancellation,
)
from ._job_demand import JobDemand, describe_demand
from ._load_codec import MAX_LOAD_RECORD_BYTES, decode_load, encode_load
from ._load_summary import LoadSummary
from ._pool_load import PoolLoad
from ._rejection import MAX_LOAD_AGE_SECONDS, Rejection, decide_rejection
from ._rejection_audit import RejectionAudit
from ._run_time import RunTimeEstimate
from ._summarize import summarize_load

__all__ = [
    "MAX_LOAD_AGE_SECONDS",
    "MAX_LOAD_RECORD_BYTES",
    "AccountLoad",
    "Backlog",
    "ClassFloor",
    "DrainMeter",
    "JobDemand",
    "LoadSummary",
    "PoolLoad",
    "Rejection",
    "RejectionAudit",
    "RunTimeEstimate",
    "WaitingRequest",
    "decide_rejection",
    "decode_load",
    "describe_demand",
    "early_cancellation_limit",
    "encode_load",
    "may_keep_early_cancellation",
    "summarize_load",
]
