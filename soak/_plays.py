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
# When the first short job comes, the time between two, and their number, tasks and
# milliseconds.
FEW_SHORT_JOBS = (2.0, 2.0, 10, 1, 300)
# More than there is room for beside the long-running tasks.
FULL_POOL = (4.0, 0.4, 70, 6, 2500)
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
    if name in LOSSES_BY_NAME:
        job_count, short_jobs, loss, others = LOSSES_BY_NAME[name]
        faults = tuple(sorted((loss, *others), key=lambda fault: fault.at))
        over_at = max([loss.at, *(fault.ends_at for fault in others)])
        calm_seconds = over_at - faults[-1].at + CALM_SECONDS
        seconds = max(loss.ends_at, over_at + CALM_SECONDS)
        jobs = _make_jobs(name, job_count, short_jobs)
        return Plan(0, seconds, faults, jobs, name, calm_seconds=calm_seconds)
    jobs = _make_jobs(name)
    count, kind, killed = CHASES_BY_NAME[name]
    chase = Chase(f"{jobs[0].id}.0.0.0", kind, count, killed)
    return Plan(0, 0.0, (), jobs, name, chase, CALM_SECONDS)


def _make_jobs(
    name: str,
    job_count: int = JOB_COUNT,
    short_jobs: tuple[float, float, int, int, int] = FEW_SHORT_JOBS,
) -> tuple[PlannedJob, ...]:
    """Return long-running jobs, and short ones that come meanwhile."""
    random = Random(name)
    lasting = make_job_body(
        f"{SERVING_MS} serve", [TASK_COUNT], is_lasting=True, may_miss=1
    )
    first_at, gap, count, tasks, milliseconds = short_jobs
    short = make_job_body(f"{milliseconds}", [tasks])
    jobs = [(JOBS_AT_SECONDS, "serving", lasting, TASK_COUNT)] * job_count
    for number in range(count):
        jobs.append((first_at + number * gap, "plain", short, tasks))
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


def _lose(
    at: float, upstreams: tuple[str, ...], kind: str = "rack-silent", away: float = 60.0
) -> Fault:
    return Fault(at, kind, upstreams, away)


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
RACK = ("u0", "u1", "u2", "u3")
HALF = ("u0", "u1")
HALF_LINKS = ("upstream/u0", "upstream/u1")
# The number of long-running jobs, the short ones, what is lost, and what else happens.
Loss = tuple[int, tuple[float, float, int, int, int], Fault, tuple[Fault, ...]]
LOSSES_BY_NAME: dict[str, Loss] = {
    **{
        f"rack-{name}": (12, FEW_SHORT_JOBS, _lose(at, RACK, away=2.0), others)
        for name, at, others in (
            ("alone", 9.6, ()),
            ("kill-after", 9.6, _signal_all("kill", 10.2)),
            ("terminate-before", 9.6, _signal_all("terminate", 8.0)),
            ("terminate-long-before", 12.0, _signal_all("terminate", 8.0)),
            ("terminate-in-turn", 10.6, _signal_in_turn("terminate", 8.0, 0.8)),
            (
                "kill-store-slow",
                9.6,
                (*_signal_all("kill", 8.0), Fault(9.0, "store-slow", (), 3.0)),
            ),
        )
    },
    "half-kill-after": (
        8,
        FEW_SHORT_JOBS,
        _lose(8.0, HALF),
        _signal_all("kill", 8.6),
    ),
    "half-store-slow": (
        JOB_COUNT,
        FEW_SHORT_JOBS,
        _lose(8.0, HALF),
        (Fault(7.0, "store-slow", (), 17.0), *_signal_all("kill", 8.6)),
    ),
    **{
        f"full-{name}": (8, FULL_POOL, _lose(at, HALF), _signal_all("kill", *killed))
        for name, at, killed in (
            ("alone", 10.0, ()),
            ("kill-soon", 10.0, (10.2,)),
            ("kill-before", 10.6, (9.6,)),
            ("kill-after", 10.0, (10.6,)),
        )
    },
    "full-cut-kill": (
        8,
        FULL_POOL,
        _lose(10.0, HALF_LINKS, "cut-responses"),
        _signal_all("kill", 10.6),
    ),
}
PLAYS = (*CUTS_BY_NAME, *CHASES_BY_NAME, *LOSSES_BY_NAME)
