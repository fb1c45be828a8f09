"""Make jobs and events for tests of the checks."""

from soak._event import Event
from soak._planned_job import PlannedJob

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"


def make_job(kind="plain", count=1):
    """Return a job of one step."""
    return PlannedJob(0.0, JOB, kind, {}, 0, None, (count,))


def start(at, upstream="u0", task=TASK, run=1, token=1, incarnation=1):
    """Return the event of a start."""
    fields = {"upstream": upstream, "incarnation": incarnation, "token": token}
    return Event(at, "start", {"task": task, "run": run, **fields})


def end(at, how="done", upstream="u0", task=TASK, run=1, number=1):
    """Return the event of an end."""
    fields = {"upstream": upstream, "incarnation": 1, "number": number}
    return Event(at, "end", {"task": task, "run": run, "how": how, **fields})


def acknowledge(at, number=1, upstream="u0"):
    """Return the event of an acknowledgement."""
    fields = {"upstream": upstream, "incarnation": 1, "number": number}
    return Event(at, "acknowledged", fields)


def crash(at, running, task="", state="down", upstream="u0"):
    """Return the event of a crash."""
    fields = {"upstream": upstream, "incarnation": 1, "running": running}
    return Event(at, "crash", {"task": task, "state": state, **fields})


def submit(at, status=None):
    """Return the event of a job that is handed in, or of the answer."""
    name = "submit-sent" if status is None else "submit"
    return Event(at, name, {"job": JOB, "sent": at, "status": status or 0})


def answer(at, state="", status=200, name="state"):
    """Return the event of an answer on a job's state."""
    return Event(at, name, {"job": JOB, "sent": at, "status": status, "state": state})


def broken(check, events):
    """Return the promises that events break, in their order."""
    return [breach.promise for event in events for breach in check(event)]


def tick(at):
    """Return the event by which time passes."""
    return Event(at, "tick", {})


def fault(at, kind, *targets, seconds=None):
    """Return the event of a fault, or with its length those of its begin and end."""
    fields = {"kind": kind, "targets": list(targets)}
    if seconds is None:
        return Event(at, "fault", fields)
    return [Event(at, "fault", fields), Event(at + seconds, "fault-ends", fields)]
