"""Re-export what every entry instance does with jobs."""

from ._acceptor import Acceptor
from ._actions import JobActions
from ._clock import boot_seconds, unix_ms
from ._owner_sign import OwnerSign, decode_owner_sign, encode_owner_sign
from ._topic_tail import TopicTail
from ._views import (
    CANCEL_PREFIX,
    JOBS_TOPIC,
    ORDER_PREFIX,
    OWNER_KEY,
    PROGRESS_TOPIC,
    RISES_KEY,
    WAVE_PREFIX,
    Views,
)

__all__ = [
    "CANCEL_PREFIX",
    "JOBS_TOPIC",
    "ORDER_PREFIX",
    "PROGRESS_TOPIC",
    "OWNER_KEY",
    "RISES_KEY",
    "Acceptor",
    "JobActions",
    "WAVE_PREFIX",
    "OwnerSign",
    "TopicTail",
    "Views",
    "boot_seconds",
    "decode_owner_sign",
    "encode_owner_sign",
    "unix_ms",
]
