"""Raise errors in the scheduler's work on one job."""

from importlib import import_module

from baobablane.jobs import TaskId

BAD = "b" * 16
GOOD = "a" * 16
TASK = TaskId(BAD, 0, 0, 0)
SECOND = TaskId(BAD, 0, 0, 1)
PLANNING = "_planning._plan_others"
MODULES = "baobablane.scheduling."


class Fault:
    """Raise an error in a function of the scheduler's work on one job."""

    def __init__(self, monkeypatch, name, job_of):
        """Patch the function; `job_of` returns the job's id from the arguments."""
        module_name, _, attribute = (MODULES + name).rpartition(".")
        module = import_module(module_name)
        self._work = getattr(module, attribute)
        self._job_of = job_of
        self.is_on = True
        self.calls = 0
        monkeypatch.setattr(module, attribute, self._call)

    def _call(self, *args):
        if self._job_of(*args) == BAD:
            self.calls += 1
            if self.is_on:
                raise KeyError("fault")
        return self._work(*args)


def run_rounds(fleet, seconds, interval=0.1):
    """Run the owner's rounds for some time, and return the starts."""
    orders = []
    for _ in range(round(seconds / interval)):
        fleet.now += interval
        fleet.renew_all()
        fleet.send_stops()
        orders += fleet.place()
    return orders


def set_apart(fleet):
    """Set the job BAD apart."""
    fleet.scheduler.state.set_apart(BAD, KeyError("fault"))


def pop_events(fleet, name):
    """Return the decisions of one kind."""
    return [e for e in fleet.scheduler.pop_events() if e.event == name]
