"""Check that a job stays within what an owner can hold and record.

A job is stored before it is placed, so every owner that takes over meets it again. One
that exhausts an owner would thus stop the placement of all jobs.
"""

from ..errors import JobLimitError
from ._job import Job

# The platform's limit on the text that a job passes to its tasks.
MAX_SPEC_BYTES = 4_000
# Far longer than labels and names of racks and images, which each round compares.
MAX_TEXT_BYTES = 255
MAX_STEPS = 1_000
# Predecessors of all steps together; each planning round follows them.
MAX_PREDECESSORS = 10_000
# The progress of a job is one record of at most 256 KiB, with about 100 bytes a task.
MAX_TASKS_PER_OCCURRENCE = 2_000
# Tasks of all occurrences together. Only the open ones are held in memory.
MAX_TASKS = 1_000_000
# A million cores in thousandths of a core, or a million gigabytes in megabytes.
MAX_AMOUNT = 10**9
# Ten years of 365 days.
MAX_DURATION_MS = 315_360_000_000
# Integers up to this one are exact in every JSON reader.
MAX_UNIX_MS = 2**53 - 1


def check_job(job: Job) -> None:
    """Raise JobLimitError for the first field that is out of its range."""
    _check("spec", len(job.spec.encode()), 0, MAX_SPEC_BYTES, "bytes")
    _check("steps", len(job.steps), 1, MAX_STEPS)
    _check("first_due_ms", job.first_due_ms, 0, MAX_UNIX_MS)
    _check("interval_ms", job.interval_ms, 0, MAX_DURATION_MS)
    _check("occurrences", job.occurrences, 0, MAX_TASKS)
    task_count = predecessor_count = 0
    for number in range(len(job.steps)):
        _check_step(job, number)
        task_count += job.steps[number].count
        predecessor_count += len(job.steps[number].after)
    _check("steps.count", task_count, 1, MAX_TASKS_PER_OCCURRENCE, "tasks")
    _check("steps.after", predecessor_count, 0, MAX_PREDECESSORS, "predecessors")
    all_task_count = task_count * max(1, job.occurrences)
    _check("occurrences", all_task_count, 1, MAX_TASKS, "tasks")


def _check_step(job: Job, number: int) -> None:
    step = job.steps[number]
    needs = step.needs
    for name, value, minimum, maximum in (
        ("count", step.count, 1, MAX_TASKS_PER_OCCURRENCE),
        ("needs.cpu_millis", needs.cpu_millis, 0, MAX_AMOUNT),
        ("needs.memory_mb", needs.memory_mb, 0, MAX_AMOUNT),
        ("needs.gpus", needs.gpus, 0, MAX_AMOUNT),
        ("estimated_ms", step.estimated_ms, 0, MAX_DURATION_MS),
        ("most_per_upstream", step.most_per_upstream, 0, MAX_AMOUNT),
        ("target_ms", step.target_ms, 0, MAX_DURATION_MS),
        ("may_miss", step.may_miss, 0, MAX_AMOUNT),
    ):
        _check(f"steps[{number}].{name}", value, minimum, maximum)
    for predecessor in step.after:
        _check(f"steps[{number}].after", predecessor, 0, number - 1)
    for name, text in (
        ("required_label", step.required_label),
        ("data_rack", step.data_rack),
        ("image", step.image),
    ):
        size = len(text.encode())
        _check(f"steps[{number}].{name}", size, 0, MAX_TEXT_BYTES, "bytes")


def _check(field: str, value: int, minimum: int, maximum: int, unit: str = "") -> None:
    if not minimum <= value <= maximum:
        raise JobLimitError(field, value, minimum, maximum, unit)
