"""Re-export the parts of a deployment that operators and the platform define."""

from ._client_account import ClientAccount
from ._configuration import Configuration
from ._instance import Instance, InstanceState
from ._limits import PlatformLimits
from ._pool import Pool
from ._queue import Queue
from ._queue_rules import QueueRules
from ._resources import NO_RESOURCES, Resources
from ._upstream_entry import UpstreamEntry
from ._wave import Wave

__all__ = [
    "NO_RESOURCES",
    "ClientAccount",
    "Configuration",
    "Instance",
    "InstanceState",
    "PlatformLimits",
    "Pool",
    "Queue",
    "QueueRules",
    "Resources",
    "UpstreamEntry",
    "Wave",
]
