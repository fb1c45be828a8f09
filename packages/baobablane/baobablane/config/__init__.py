"""Re-export the entries, changes, fold and view of the configuration."""

from ._change import Change, Checkpoint, ConfigRecord
from ._codec import CONFIG_FOLD, decode_record, encode_record
from ._entry import (
    Entry,
    Instance,
    Key,
    Placement,
    PlacementPhase,
    Pool,
    Queue,
    QueueClass,
    Service,
    Settings,
    Team,
    Wave,
    WavePhase,
    entry_key,
)
from ._fold import (
    ABSENT,
    ApplyResult,
    ConfigState,
    VersionedEntry,
    apply_record,
    make_checkpoint,
    pool_of_instance,
)
from ._plan import Plan, PlanAction, PlanLine, plan_change
from ._reference import find_missing_references
from ._view import ConfigView, build_view

__all__ = [
    "ABSENT",
    "CONFIG_FOLD",
    "ApplyResult",
    "Change",
    "Checkpoint",
    "ConfigRecord",
    "ConfigState",
    "ConfigView",
    "Entry",
    "Instance",
    "Key",
    "Placement",
    "PlacementPhase",
    "Plan",
    "PlanAction",
    "PlanLine",
    "Pool",
    "Queue",
    "QueueClass",
    "Service",
    "Settings",
    "Team",
    "VersionedEntry",
    "Wave",
    "WavePhase",
    "apply_record",
    "build_view",
    "decode_record",
    "encode_record",
    "entry_key",
    "find_missing_references",
    "make_checkpoint",
    "plan_change",
    "pool_of_instance",
]
