"""Define the event that describes a scheduling decision for the log."""

from dataclasses import dataclass

from ._wait_inputs import WaitInputs

CRASH_EVENT = "upstream-crashed"


@dataclass(frozen=True, slots=True)
class SchedulingEvent:
    """Describe one decision, the job it concerns, and the inputs behind it."""

    event: str
    job: str = ""
    # The task within the job, as `occurrence.step.position`.
    task: str = ""
    run: int = 0
    # Client account of the job; only where a task starts or a job ends.
    account: str = ""
    upstream: str = ""
    reason: str = ""
    # Seconds since the run started, since the progress of a stalled run changed, or
    # since a task began to wait; 0 for all other events.
    age_seconds: float = 0.0
    # Of the upstream; 0 if the event does not concern one of its lives.
    incarnation: int = 0
    # Other runs on the upstream, as `job.occurrence.step.position#run`.
    beside: tuple[str, ...] = ()
    # Work lost in a crash.
    core_seconds: float = 0.0
    queue: str = ""
    # Of a task that is placed: group of its job, and the jobs of its queue before it.
    group: str = ""
    position: int = 0
    # Expected end of a job in Unix ms, told at its first start.
    predicted_ms: int = 0
    # Of a completed job: in time, late or useless.
    outcome: str = ""
    # Of a task that waits, and of a lost run for which its task may be held.
    wait: WaitInputs | None = None
