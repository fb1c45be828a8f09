"""Export what every entry instance needs to accept and follow jobs."""

from ._actions import JobActions
from ._clock import boot_seconds, unix_ms
from ._job_writer import JobWriter
from ._owner_heartbeat import (
    OwnerHeartbeat,
    decode_owner_heartbeat,
    encode_owner_heartbeat,
)
from ._topic_tail import TopicTail
from ._views import (
    BURST_STARTS_KEY,
    CANCEL_PREFIX,
    JOBS_TOPIC,
    ORDER_PREFIX,
    OWNER_KEY,
    PROGRESS_TOPIC,
    WAVE_PREFIX,
    Views,
)

__all__ = [
    "CANCEL_PREFIX",
    "JOBS_TOPIC",
    "ORDER_PREFIX",
    "PROGRESS_TOPIC",
    "OWNER_KEY",
    "BURST_STARTS_KEY",
    "JobWriter",
    "JobActions",
    "WAVE_PREFIX",
    "OwnerHeartbeat",
    "TopicTail",
    "Views",
    "boot_seconds",
    "decode_owner_heartbeat",
    "encode_owner_heartbeat",
    "unix_ms",
]
