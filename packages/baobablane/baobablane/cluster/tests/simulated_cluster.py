"""Simulate members, their log and the links between them in virtual time."""

from dataclasses import dataclass, field
from random import Random

from baobablane.cluster import Participant, ParticipantTiming, PeerHeartbeat
from baobablane.limits import Escrow
from baobablane.log import LogPage, LogRecord
from baobablane.membership import MemberAddress, encode_record

TEAM = "t"
TIMING = ParticipantTiming(view_lease_seconds=4.0, heartbeat_timeout_seconds=10.0)
TASK_LEASE_SECONDS = 5.0
STEP_SECONDS = 0.25
# Assumed maximum time for which tasks still start under an earlier limit.
SETTLE_SECONDS = 2 * (TIMING.view_lease_seconds + TASK_LEASE_SECONDS)


@dataclass
class Task:
    """Represent a task that an upstream runs, even if its sender has failed."""

    completes_at: float
    lease_until: float
    escrow: Escrow

    @property
    def ends_at(self) -> float:
        """Return when it completes, or is stopped because its lease has expired."""
        return min(self.completes_at, self.lease_until)


@dataclass
class Process:
    """Represent one member's process and the faults injected into it."""

    member: Participant
    limit_revision: int = 0
    wants_units: bool = True
    is_frozen: bool = False
    is_dead: bool = False
    is_cut_from_log: bool = False
    last_sent_at_by_sender: dict[str, float] = field(default_factory=dict)
    inbox: list[tuple[float, str, PeerHeartbeat]] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)


class SimulatedCluster:
    """Simulate a cluster whose processes, links and log a test may break."""

    def __init__(self, processes: int, limit: int, seed: int) -> None:
        """Start processes that have not joined, under a limit."""
        self.random = Random(seed)
        self.now = 100.0
        self.size = processes
        self.records: list[LogRecord] = []
        self.log_is_down = False
        self.limits: list[tuple[float, int]] = [(self.now, limit)]
        self.cut_links: set[frozenset[int]] = set()
        self.loss_rate = 0.0
        self.incarnation_numbers = iter(range(10**6))
        self.orphaned_tasks: list[Task] = []
        self.terminated: set[str] = set()
        self.processes = [self.make_process(index) for index in range(processes)]

    def make_process(self, index: int) -> Process:
        """Return a new process of an instance."""
        member = Participant(
            f"e{index}",
            MemberAddress("h", index, 0, "a"),
            lambda: f"e{index}-{next(self.incarnation_numbers):05d}",
            TIMING,
        )
        return Process(member)

    def restart(self, index: int) -> None:
        """Replace the process of an instance; its tasks continue on their upstreams."""
        self.orphaned_tasks += self.processes[index].tasks
        self.processes[index] = self.make_process(index)

    def set_limit(self, limit: int) -> None:
        """Publish another upper limit."""
        self.limits.append((self.now, limit))

    def advance(self, seconds: float) -> None:
        """Advance the time in steps, and let every working process act in each."""
        for _ in range(max(1, round(seconds / STEP_SECONDS))):
            self.now += STEP_SECONDS
            self.end_tasks()
            order = list(range(self.size))
            self.random.shuffle(order)
            for index in order:
                process = self.processes[index]
                if not process.is_dead and not process.is_frozen:
                    self.run_step(index, process)
            self.check_limit()

    def run_step(self, index: int, process: Process) -> None:
        """Let one process read, receive, append, rebalance units and start tasks."""
        # A process that resumes after a pause may act before it reads anything.
        if self.random.random() < 0.3:
            self.start_tasks(process)
        self.renew_tasks(process)
        self.read_log(process)
        self.receive(process)
        for record in process.member.due_records(self.now):
            self.append(process, encode_record(record))
        waiting = {TEAM: 5} if process.wants_units else {}
        process.member.rebalance_units(waiting, self.now)
        self.send_heartbeats(index, process, waiting)
        self.start_tasks(process)

    def can_use_log(self, process: Process) -> bool:
        """Return whether a process can reach the log."""
        return not self.log_is_down and not process.is_cut_from_log

    def append(self, process: Process, payload: str) -> None:
        """Append a record, which may be lost or appended twice."""
        if not self.can_use_log(process) or self.random.random() < self.loss_rate:
            return
        for _ in range(2 if self.random.random() < 0.1 else 1):
            self.records.append(LogRecord(len(self.records), self.now, payload))

    def read_log(self, process: Process) -> None:
        """Read to the end of the log, and apply the current limit."""
        if not self.can_use_log(process) or self.random.random() < self.loss_rate:
            return
        start = process.member.fold.next_offset
        page = LogPage(0, len(self.records), tuple(self.records[start:]))
        process.member.apply_page(page, self.now)
        process.member.view_lease.record_config_read(self.now)
        self.apply_limit(process, len(self.limits) - 1)

    def apply_limit(self, process: Process, revision: int) -> None:
        """Apply a revision of the limit at a process."""
        if revision < process.limit_revision or (
            revision == process.limit_revision and process.member.escrow.usable(TEAM)
        ):
            return
        process.limit_revision = revision
        limits = {TEAM: self.limits[revision][1]}
        process.member.set_config(limits, revision, self.size, TASK_LEASE_SECONDS)

    def send_heartbeats(
        self, index: int, process: Process, waiting: dict[str, int]
    ) -> None:
        """Send heartbeats that may be lost, delayed or duplicated."""
        member = process.member
        if not member.state.is_active(member.incarnation):
            return
        for other, peer in enumerate(self.processes):
            if other == index or frozenset((index, other)) in self.cut_links:
                continue
            copies = self.random.choice((1, 1, 1, 2))
            for _ in range(0 if self.random.random() < self.loss_rate else copies):
                delay = self.random.choice((0.0, 0.0, STEP_SECONDS, 1.0))
                name = peer.member.incarnation
                ledger = member.escrow.ledger_for(name, waiting)
                heartbeat = PeerHeartbeat(
                    member.incarnation,
                    f"e{index}",
                    process.last_sent_at_by_sender.get(name, float("-inf")),
                    process.limit_revision,
                    member.fold.next_offset,
                    ledger,
                )
                message = (
                    self.now + delay,
                    self.now,
                    process.limit_revision,
                    heartbeat,
                )
                peer.inbox.append(message)

    def receive(self, process: Process) -> None:
        """Receive the heartbeats that have arrived; fetch state from peers ahead."""
        arrived = [item for item in process.inbox if item[0] <= self.now]
        process.inbox = [item for item in process.inbox if item[0] > self.now]
        for _, sent_at, revision, heartbeat in arrived:
            process.last_sent_at_by_sender[heartbeat.sender] = sent_at
            if heartbeat.membership_next > process.member.fold.next_offset:
                start = process.member.fold.next_offset
                records = tuple(self.records[start : heartbeat.membership_next])
                # A peer's state has newer records but does not show where the log ends.
                page = LogPage(0, heartbeat.membership_next + 1, records)
                process.member.apply_page(page, float("-inf"))
            self.apply_limit(process, max(revision, process.limit_revision))
            process.member.receive_heartbeat(
                heartbeat, process.limit_revision, self.now
            )

    def start_tasks(self, process: Process) -> None:
        """Start as many tasks as the member allows."""
        member = process.member
        if not process.wants_units:
            return
        while member.may_run(self.now) and member.escrow.start(TEAM):
            seconds = self.random.uniform(0.1, 3 * TASK_LEASE_SECONDS)
            lease_until = self.now + TASK_LEASE_SECONDS
            process.tasks.append(Task(self.now + seconds, lease_until, member.escrow))

    def renew_tasks(self, process: Process) -> None:
        """Renew the leases of the tasks that the member may still run."""
        member = process.member
        for task in process.tasks:
            if task.escrow is member.escrow and member.may_run(self.now):
                task.lease_until = self.now + TASK_LEASE_SECONDS

    def end_tasks(self) -> None:
        """End the tasks that are due; a frozen sender counts them when it resumes."""
        self.orphaned_tasks = [
            task for task in self.orphaned_tasks if task.ends_at > self.now
        ]
        for process in self.processes:
            for task in process.tasks:
                if task.ends_at <= self.now and not process.is_frozen:
                    task.escrow.finish(TEAM)
            if process.is_frozen:
                continue
            process.tasks = [t for t in process.tasks if t.ends_at > self.now]

    def running(self) -> int:
        """Return how many tasks really run on upstreams."""
        tasks = [*self.orphaned_tasks, *(t for p in self.processes for t in p.tasks)]
        return sum(task.ends_at > self.now for task in tasks)

    def allowed(self) -> int:
        """Return the highest limit that running work may have started under."""
        # Work that started under an earlier limit is left to end by itself.
        since = self.now - SETTLE_SECONDS - 3 * TASK_LEASE_SECONDS
        recent = [limit for at, limit in self.limits if at >= since]
        before = [limit for at, limit in self.limits if at < since]
        return max([*recent, *before[-1:]])

    def check_limit(self) -> None:
        """Fail if more tasks run than the team's upper limit allows."""
        running = self.running()
        assert running <= self.allowed(), f"{running} run, {self.allowed()} allowed"

    def usable(self) -> int:
        """Return how many tasks all members that are alive may run together."""
        return sum(
            process.member.escrow.usable(TEAM)
            for process in self.processes
            if not process.is_dead and process.member.may_run(self.now)
        )
