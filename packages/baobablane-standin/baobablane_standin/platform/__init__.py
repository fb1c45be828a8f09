"""Re-export the parts of the stand-in platform."""

from ._deployment import PlatformStandin, StandinSettings
from ._partition import Partition
from ._server import PlatformServer
from ._store import PlatformStore, StoreSwitches
from ._upstream import StandinUpstream

__all__ = [
    "Partition",
    "PlatformServer",
    "PlatformStandin",
    "PlatformStore",
    "StandinSettings",
    "StandinUpstream",
    "StoreSwitches",
]
