"""Define a step of a job."""

import msgspec

from ..deployment import Resources


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe the tasks of a step: resources, dependencies and placement."""

    # Number of tasks.
    count: int
    # Resources of each task.
    needs: Resources
    # Declared duration of each task in milliseconds.
    estimated_ms: int = 0
    # Indexes of earlier steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    # Gang scheduling: the tasks make progress only if all of them run.
    is_gang: bool = False
    same_rack: bool = False
    # Label that an upstream must have to run the tasks; empty for no restriction.
    required_label: str = ""
    # Label of the rack with the tasks' data; upstreams there are preferred.
    data_rack: str = ""
    # Maximum number of the step's tasks on one upstream; 0 means no limit.
    most_per_upstream: int = 0
    # A task may start elsewhere while its upstream is unreachable but may still run it.
    may_run_twice: bool = False
    # Long-running: the tasks run until the job is cancelled.
    is_lasting: bool = False
    image: str = ""
    # Maximum tail latency of a serving task in milliseconds; 0 for other tasks.
    target_ms: int = 0
    # The tasks use only capacity that no other task needs.
    is_filler: bool = False
    # Maximum number of tasks that planned work, such as maintenance, may make
    # unavailable at the same time.
    may_miss: int = 0
