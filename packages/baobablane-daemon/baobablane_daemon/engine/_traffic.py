"""Define the traffic totals of the control plane."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Traffic:
    """Report totals of bytes, frames, appends and records since the start."""

    peer_bytes_sent: int = 0
    peer_bytes_received: int = 0
    peer_bad_frames: int = 0
    log_bytes_read: int = 0
    log_appends: int = 0
    log_records_written: int = 0
