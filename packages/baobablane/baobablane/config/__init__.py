"""Re-export the configuration's entries, changes, fold and view."""

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
    key_of,
)
from ._fold import (
    ABSENT,
    ConfigState,
    Verdict,
    VersionedEntry,
    apply_record,
    make_checkpoint,
    pool_of,
)
from ._plan import Plan, PlanAction, PlanLine, plan_change
from ._reference import reference_problems
from ._view import ConfigView, build_view

__all__ = [
    "ABSENT",
    "CONFIG_FOLD",
    "Change",
    "Checkpoint",
    "ConfigRecord",
    "ConfigState",
    "ConfigView",
    "Entry",
    "Instance",
    "Key",
    "Plan",
    "PlanAction",
    "PlanLine",
    "Placement",
    "PlacementPhase",
    "Pool",
    "Queue",
    "QueueClass",
    "Service",
    "Settings",
    "Team",
    "Verdict",
    "VersionedEntry",
    "Wave",
    "WavePhase",
    "apply_record",
    "build_view",
    "decode_record",
    "encode_record",
    "key_of",
    "make_checkpoint",
    "plan_change",
    "pool_of",
    "reference_problems",
]
