"""Describe a step of a job."""

import msgspec

from ..deployment import Resources


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold what the tasks of a step need and how they are placed."""

    count: int
    needs: Resources
    estimated_ms: int = 0
    # Earlier steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    # The tasks work only together: a gang.
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    # Most tasks of the step on one upstream; 0 means no limit.
    most_per_upstream: int = 0
    may_run_twice: bool = False
    # Runs until the job is cancelled.
    is_lasting: bool = False
    image: str = ""
    # Tail latency that a serving task must stay below; 0 for others.
    target_ms: int = 0
    # Uses only the capacity that other tasks leave.
    is_filler: bool = False
    # Tasks that planned work may have unavailable at once.
    may_miss: int = 0
