"""Re-export which upstreams have crashed, and which tasks crash them."""

from ._host import Host, decode_host, encode_host
from ._host_table import HostChanges, HostTable
from ._verdict import MIN_LATE_CRASHES, is_deadly, is_late_cause

__all__ = [
    "MIN_LATE_CRASHES",
    "Host",
    "HostChanges",
    "HostTable",
    "decode_host",
    "encode_host",
    "is_deadly",
    "is_late_cause",
]
