"""Name plays that are known to have kept long-running tasks without a run."""

from random import Random

from baobablane_standin.platform import make_job_body

from ._chase import Chase
from ._fault import Fault
from ._plan import ENTRIES, SERVING_MS, Plan
from ._planned_job import PlannedJob

JOB_COUNT = 4
TASK_COUNT = 3
JOBS_AT_SECONDS = 0.2
SHORT_JOB_COUNT = 10
SHORT_JOB_GAP_SECONDS = 2.0
# Time in which a broken promise shows after the last fault, and some more.
CALM_SECONDS = 15.0
CUT_LINKS = ("upstream/u0", "upstream/u1", "upstream/u2")


def make_play(name: str) -> Plan:
    """Return the plan of a play by its name."""
    if name in CUTS_BY_NAME:
        cut_at, faults = CUTS_BY_NAME[name]
        ends_at = max((fault.ends_at for fault in faults), default=cut_at)
        seconds = ends_at + CALM_SECONDS
        cut = Fault(cut_at, "cut-responses", CUT_LINKS, seconds - cut_at)
        return Plan(0, seconds, (cut, *faults), _make_jobs(name), name)
    jobs = _make_jobs(name)
    count, kind, killed = CHASES_BY_NAME[name]
    chase = Chase(f"{jobs[0].id}.0.0.0", kind, count, killed)
    return Plan(0, 0.0, (), jobs, name, chase, CALM_SECONDS)


def _make_jobs(name: str) -> tuple[PlannedJob, ...]:
    """Return long-running jobs, and short ones that come meanwhile."""
    random = Random(name)
    lasting = make_job_body(
        f"{SERVING_MS} serve", [TASK_COUNT], is_lasting=True, may_miss=1
    )
    short = make_job_body("300", [1])
    jobs = [(JOBS_AT_SECONDS, "serving", lasting, TASK_COUNT)] * JOB_COUNT
    for number in range(1, SHORT_JOB_COUNT + 1):
        jobs.append((number * SHORT_JOB_GAP_SECONDS, "plain", short, 1))
    return tuple(
        PlannedJob(
            at,
            f"{random.getrandbits(48):012x}{number:04x}",
            kind,
            body,
            number % len(ENTRIES),
            counts=(count,),
        )
        for number, (at, kind, body, count) in enumerate(jobs)
    )


def _signal_all(kind: str, *times: float) -> tuple[Fault, ...]:
    return tuple(Fault(at, kind, ENTRIES, 0.0) for at in times)


def _signal_in_turn(kind: str, at: float, gap: float) -> tuple[Fault, ...]:
    return tuple(
        Fault(at + number * gap, kind, (name,), 0.0)
        for number, name in enumerate(ENTRIES)
    )


# When the upstreams lose their responses, and what happens after that.
CUTS_BY_NAME: dict[str, tuple[float, tuple[Fault, ...]]] = {
    "cut-alone": (8.0, ()),
    "cut-kill-once": (8.0, _signal_all("kill", 8.6)),
    "cut-kill-twice": (8.0, _signal_all("kill", 8.6, 16.0)),
    "cut-kill-thrice": (8.0, _signal_all("kill", 8.6, 14.0, 20.0)),
    "cut-terminate-twice": (8.0, _signal_all("terminate", 8.6, 16.0)),
    "cut-terminate-in-turn": (8.0, _signal_in_turn("terminate", 8.6, 3.0)),
    "cut-store-down": (8.0, (Fault(8.5, "store-down", (), 9.0),)),
    # The shortest one that keeps a task without a run for too long.
    "cut-kill-twice-early": (3.0, _signal_all("kill", 3.6, 11.0)),
}
# How often the upstream of a task crashes as it starts, how, and what is killed.
CHASES_BY_NAME: dict[str, tuple[int, str, tuple[str, ...]]] = {
    "chase-2-silent": (2, "crash-silent", ()),
    "chase-2-reset": (2, "crash-reset", ()),
    "chase-3-silent": (3, "crash-silent", ()),
    "chase-3-reset": (3, "crash-reset", ()),
    "chase-4-silent": (4, "crash-silent", ()),
    "chase-4-reset": (4, "crash-reset", ()),
    "chase-2-silent-killed": (2, "crash-silent", ENTRIES),
}
PLAYS = (*CUTS_BY_NAME, *CHASES_BY_NAME)
