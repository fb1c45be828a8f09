"""Re-export what every entry instance needs to accept and follow jobs."""

from ._actions import JobActions
from ._append_forecast import AppendForecast
from ._clock import boot_seconds, loggable_age, unix_ms
from ._job_writer import JobWriter
from ._lease_bounds import LeaseBounds, UpstreamBound
from ._order_record import InstanceOrderRecord, encode_order_record
from ._owner_heartbeat import (
    OwnerHeartbeat,
    decode_owner_heartbeat,
    encode_owner_heartbeat,
    holder_instance,
    make_holder,
)
from ._owner_load import OwnerLoad
from ._peer import Peer
from ._registration import register_peer, register_state_reader, unregister_peer
from ._repeated_append import append_repeatedly
from ._topic_tail import TopicTail
from ._views import (
    BURST_STARTS_KEY,
    CANCEL_PREFIX,
    HOST_PREFIX,
    INSTANCE_ORDER_PREFIX,
    JOBS_TOPIC,
    LOAD_KEY,
    OWNER_HEARTBEAT_KEY,
    PROGRESS_TOPIC,
    STATE_READER_PREFIX,
    STATES_TOPIC,
    WAVE_PROGRESS_PREFIX,
    Views,
)

__all__ = [
    "AppendForecast",
    "CANCEL_PREFIX",
    "HOST_PREFIX",
    "JOBS_TOPIC",
    "LOAD_KEY",
    "LeaseBounds",
    "INSTANCE_ORDER_PREFIX",
    "PROGRESS_TOPIC",
    "Peer",
    "STATES_TOPIC",
    "STATE_READER_PREFIX",
    "OWNER_HEARTBEAT_KEY",
    "BURST_STARTS_KEY",
    "JobWriter",
    "InstanceOrderRecord",
    "JobActions",
    "WAVE_PROGRESS_PREFIX",
    "OwnerHeartbeat",
    "OwnerLoad",
    "TopicTail",
    "UpstreamBound",
    "Views",
    "append_repeatedly",
    "boot_seconds",
    "decode_owner_heartbeat",
    "encode_order_record",
    "encode_owner_heartbeat",
    "holder_instance",
    "loggable_age",
    "make_holder",
    "register_peer",
    "register_state_reader",
    "unix_ms",
    "unregister_peer",
]
