"""Re-export the daemon's connections and background tasks."""

from ._instance_list import InstanceListTask, UnavailableInstances
from ._log_reader import LogReaderTask, PageRead, ReadFailed
from ._log_writer import AppendRequest, LogWriterTask
from ._peer_link import OutgoingFrame, PeerLinkTask
from ._peer_message import (
    Cancel,
    FetchState,
    Heartbeat,
    PeerMessage,
    StateReply,
    decode_message,
    encode_message,
)
from ._upstream_client import UpstreamCall, UpstreamClient, UpstreamResponse

__all__ = [
    "Heartbeat",
    "Cancel",
    "FetchState",
    "InstanceListTask",
    "UnavailableInstances",
    "LogReaderTask",
    "LogWriterTask",
    "PageRead",
    "PeerLinkTask",
    "PeerMessage",
    "OutgoingFrame",
    "ReadFailed",
    "StateReply",
    "UpstreamResponse",
    "UpstreamCall",
    "UpstreamClient",
    "AppendRequest",
    "decode_message",
    "encode_message",
]
