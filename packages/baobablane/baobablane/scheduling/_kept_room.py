"""Define what room is kept on an upstream."""

from dataclasses import dataclass

from ..deployment import Resources
from ..jobs import TaskId


@dataclass(frozen=True, slots=True)
class KeptRoom:
    """Hold the room that is kept for tasks that wait, and whose ends they wait for."""

    needs: Resources
    # Short tasks that ran there when the room was first kept.
    blockers: frozenset[TaskId]
    # Nothing may start just before a trial, and beside it.
    is_for_trial: bool
