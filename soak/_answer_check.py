"""Check what callers are told."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from ._breach import Breach
from ._event import Event
from ._planned_job import PlannedJob

# As the stand-in configures its queue.
MAX_ATTEMPTS = 2
# The platform's bound until an accepted job is known everywhere.
VISIBLE_SECONDS = 3.0
UNKNOWN_STATUSES = (0, 500, 504)
# Statuses that say that the key or the queue is not known; both always are.
DENIAL_STATUSES = (401, 403, 404)
# A job is shown as cancelled, and had another end or gets one.
CANCELLED_END_PROMISE = "one-end-of-cancelled"
ENDED_STATES = ("completed", "failed", "cancelled")


class AnswerCheck:
    """Check accepted and rejected jobs and the states that are shown."""

    def __init__(self, jobs_by_id: dict[str, PlannedJob]) -> None:
        """Start without jobs."""
        self._jobs_by_id = jobs_by_id
        # Attempts to submit a job that were not rejected.
        self._open_attempts: Counter[str] = Counter()
        self.accepted_at: dict[str, float] = {}
        self.end_by_job: dict[str, str] = {}
        self._done: dict[str, set[str]] = defaultdict(set)
        # How often each task failed, or ran on an upstream that crashed. The platform
        # allows a job to be given up after two crashes under a task, from any cause.
        self._failures: dict[str, Counter[str]] = defaultdict(Counter)

    def __call__(self, event: Event) -> Iterator[Breach]:
        """Return the promises that an event breaks."""
        if event.fields.get("status") in DENIAL_STATUSES and event.job:
            detail = f"{event.name} of {event.job} is denied with {event['status']}"
            yield Breach("true-denial", event.at, detail, event.job)
        if event.name == "submit-sent":
            self._open_attempts[event.job] += 1
        elif event.name == "submit":
            if event["status"] == 200:
                self.accepted_at.setdefault(event.job, event.at)
            elif event["status"] not in UNKNOWN_STATUSES:
                self._open_attempts[event.job] -= 1
        elif event.name == "start" and not self._open_attempts[event.job]:
            detail = f"{event['task']} starts, though its job was rejected"
            yield Breach("no-start-after-rejection", event.at, detail, event.job)
        elif event.name == "end":
            if event["how"] == "done":
                self._done[event.job].add(event["task"])
            elif event["how"] == "failed":
                self._failures[event.job][event["task"]] += 1
        elif event.name == "crash" and event["state"] != "upkeep":
            for task in event["running"]:
                self._failures[task.partition(".")[0]][task] += 1
        elif event.name in ("state", "cancel"):
            yield from self._check_answer(event)

    def _check_answer(self, event: Event) -> Iterator[Breach]:
        job, state = event.job, event["state"]
        accepted_at = self.accepted_at.get(job)
        is_known = accepted_at is not None and event["sent"] > accepted_at
        if event["status"] == 410 and is_known:
            if event["sent"] - (accepted_at or 0.0) > VISIBLE_SECONDS:
                detail = f"{job}, accepted at {accepted_at:.2f} s, is unknown"
                yield Breach("known", event.at, detail, job)
            return
        if state not in ENDED_STATES:
            return
        earlier = self.end_by_job.setdefault(job, state)
        ends = (earlier, state)
        if earlier != state:
            promise = CANCELLED_END_PROMISE if "cancelled" in ends else "one-end"
            detail = f"{job} is shown as {state}, and was shown as {earlier}"
            yield Breach(promise, event.at, detail, job)
        elif state == "failed":
            worst = max(self._failures[job].values(), default=0)
            if worst < MAX_ATTEMPTS:
                detail = f"{job} is shown as failed after {worst} failures"
                yield Breach("no-false-failure", event.at, detail, job)
        elif state == "completed":
            count = self._jobs_by_id[job].task_count
            done = len(self._done[job])
            if done < count:
                detail = f"{job} is shown as completed, {done} of {count} tasks done"
                yield Breach("true-completion", event.at, detail, job)
