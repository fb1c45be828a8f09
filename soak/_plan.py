"""Draw the faults and jobs of a soak from its seed."""

from dataclasses import dataclass
from random import Random

from baobablane_standin.platform import make_job_body

from ._chase import Chase
from ._fault import Fault
from ._planned_job import PlannedJob

ENTRIES = ("entry-0", "entry-1", "entry-2")
UPSTREAMS = ("u0", "u1", "u2", "u3", "u4", "u5")
FIRST_FAULT_SECONDS = 2.0
FAULTS_PER_SECOND = 1.0
# So many faults follow the one before within a tenth of a second or so.
SERIES_SHARE = 0.3
SERIES_GAP_SECONDS = 0.15
JOBS_PER_SECOND = 4.0
BURST_SHARE = 0.02
BURST_JOBS = 12
MAX_FAULT_SECONDS = 7.0
# Far longer than any soak.
SERVING_MS = 10_000_000
INTERVAL_MS = 400
OCCURRENCES = 3

PROCESS_KINDS = ("kill", "terminate", "pause")
LINK_KINDS = ("delay", "reset", "cut-requests", "cut-responses", "silence", "trickle")
UPSTREAM_KINDS = ("crash-reset", "crash-silent", "restart-same-id", "unhealthy")
RACK_KINDS = ("rack-reset", "rack-silent")
STORE_KINDS = (
    "store-busy",
    "store-slow",
    "store-down",
    "store-loses-writes",
    "store-loses-answers",
    "store-late-writes",
    "store-forgets",
)
OPERATOR_KINDS = ("new-queue", "withdraw-key", "wave")
KIND_GROUPS = (
    (PROCESS_KINDS, 5),
    (LINK_KINDS, 8),
    (UPSTREAM_KINDS, 3),
    (RACK_KINDS, 1),
    (STORE_KINDS, 3),
    (OPERATOR_KINDS, 3),
)
JOB_KINDS = {
    "plain": 40,
    "steps": 15,
    "long": 12,
    "serving": 4,
    "failing": 5,
    "deadly": 1,
    "copies": 8,
    "periodic": 6,
}


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the faults and jobs of a soak, in the order of their times."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    jobs: tuple[PlannedJob, ...]
    # The name of the play; empty if the plan was drawn from the seed.
    play: str = ""
    # Faults that follow from starts.
    chase: Chase | None = None
    # How long nothing is disturbed after the last fault, before the recovery.
    calm_seconds: float = 0.0

    def __str__(self) -> str:
        kinds = [job.kind for job in self.jobs]
        counts = ", ".join(f"{kinds.count(kind)} {kind}" for kind in JOB_KINDS)
        name = f"play {self.play}" if self.play else f"seed {self.seed}"
        head = f"{name}, {self.seconds} s, jobs: {counts}"
        chase = [str(self.chase)] if self.chase else []
        return "\n".join([head, *map(str, self.faults), *chase])


def link_names() -> list[str]:
    """Return the names of all links.

    Each upstream has one from all entry instances, and one from each of them.
    """
    links = [f"{side}/{name}" for name in ENTRIES for side in ("store", "list")]
    links += [f"callers/{name}" for name in ENTRIES]
    links += [f"upstream/{name}" for name in UPSTREAMS]
    pairs = [(upstream, entry) for upstream in UPSTREAMS for entry in ENTRIES]
    return links + [f"upstream/{upstream}/{entry}" for upstream, entry in pairs]


def split_link(name: str) -> tuple[str, str]:
    """Return the name of the proxy of a link, and that of its only client or ""."""
    side, target, *client = name.split("/")
    return f"{side}/{target}", client[0] if client else ""


def make_plan(seed: int, seconds: float) -> Plan:
    """Return the plan of a seed."""
    random = Random(f"{seed} {seconds}")
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds:
        faults.append(draw_fault(random, at, seconds))
        if random.random() < SERIES_SHARE:
            at += random.uniform(0.0, SERIES_GAP_SECONDS)
        else:
            at += random.expovariate(FAULTS_PER_SECOND)
    jobs: list[PlannedJob] = []
    at = 0.0
    while at < seconds:
        for _ in range(BURST_JOBS if random.random() < BURST_SHARE else 1):
            jobs.append(draw_job(random, at, len(jobs)))
        at += random.expovariate(JOBS_PER_SECOND)
    return Plan(seed, seconds, tuple(faults), tuple(jobs))


def draw_fault(random: Random, at: float, end: float) -> Fault:
    """Return a fault that is over at `end`."""
    groups, weights = zip(*KIND_GROUPS, strict=True)
    kinds = random.choices(groups, weights)[0]
    kind = random.choice(kinds)
    duration = round(min(random.uniform(0.2, MAX_FAULT_SECONDS), end - at), 2)
    targets: list[str] = []
    if kinds is PROCESS_KINDS:
        targets = random.sample(ENTRIES, random.choices((1, 2, 3), (6, 2, 1))[0])
    elif kinds is LINK_KINDS:
        targets = random.sample(link_names(), random.choices((1, 2, 4), (6, 2, 1))[0])
    elif kinds is UPSTREAM_KINDS:
        targets = [random.choice(UPSTREAMS)]
    elif kinds is RACK_KINDS or kind == "wave":
        targets = random.sample(UPSTREAMS, random.choice((2, 3)))
    return Fault(round(at, 2), kind, tuple(targets), duration)


def draw_job(random: Random, at: float, number: int, kind: str = "") -> PlannedJob:
    """Return a job of a kind, or of one that is drawn."""
    kind = kind or random.choices(list(JOB_KINDS), list(JOB_KINDS.values()))[0]
    spec, counts = f"{random.randint(20, 800)}", [random.randint(1, 4)]
    if kind == "steps":
        counts.append(random.randint(1, 3))
    elif kind == "long":
        spec, counts = f"{random.randint(2_000, 8_000)}", [random.randint(1, 2)]
    elif kind == "serving":
        spec, counts = f"{SERVING_MS} serve", [3]
    elif kind == "failing":
        spec, counts = f"{random.randint(20, 500)} fail", [1]
    elif kind == "deadly":
        spec, counts = "20 crash", [1]
    occurrences = OCCURRENCES if kind == "periodic" else 0
    body = make_job_body(
        spec,
        counts,
        is_lasting=kind == "serving",
        may_run_twice=kind == "copies",
        may_miss=1,
        interval_ms=INTERVAL_MS,
        occurrences=occurrences,
    )
    is_cancelled = kind == "long" and random.random() < 0.4
    return PlannedJob(
        round(at, 3),
        f"{random.getrandbits(48):012x}{number:04x}",
        kind,
        body,
        random.randrange(len(ENTRIES)),
        round(random.uniform(0.2, 3.0), 2) if is_cancelled else None,
        tuple(counts),
        occurrences or 1,
    )
