"""Re-export the daemon's settings."""

from ._model import (
    DaemonSettings,
    InstanceSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    TimingSettings,
)
from ._read import read_settings

__all__ = [
    "DaemonSettings",
    "InstanceSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "TimingSettings",
    "read_settings",
]
