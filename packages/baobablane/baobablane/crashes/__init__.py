"""Re-export which upstreams have crashed, and which tasks crash them."""

from ._host import Host, decode_host, encode_host
from ._host_table import HostChanges, HostTable
from ._verdict import is_deadly

__all__ = [
    "Host",
    "HostChanges",
    "HostTable",
    "decode_host",
    "encode_host",
    "is_deadly",
]
