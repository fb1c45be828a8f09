"""Re-export the parts of the stand-in platform."""

from ._deployment import (
    API_KEY,
    PATH_PREFIX,
    QUEUE_HOST,
    PlatformStandin,
    StandinSettings,
    extra_path_prefix,
)
from ._job_body import make_job_body
from ._partition import Partition
from ._server import PlatformServer
from ._store import PlatformStore, StoreSwitches
from ._upstream import StandinUpstream

__all__ = [
    "API_KEY",
    "PATH_PREFIX",
    "QUEUE_HOST",
    "Partition",
    "PlatformServer",
    "PlatformStandin",
    "PlatformStore",
    "StandinSettings",
    "StandinUpstream",
    "StoreSwitches",
    "extra_path_prefix",
    "make_job_body",
]
