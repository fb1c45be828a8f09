"""Test that no team runs more tasks across the fleet than its upper limit."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .simulated_cluster import (
    SETTLE_SECONDS,
    TASK_LEASE_SECONDS,
    TEAM,
    TIMING,
    SimulatedCluster,
)

MAX_MEMBERS = 5
member_indexes = st.integers(0, MAX_MEMBERS - 1)
RECOVERY_SECONDS = (
    TIMING.heartbeat_timeout_seconds
    + TIMING.view_lease_seconds
    + TASK_LEASE_SECONDS
    + 5.0
)


class LimitMachine(RuleBasedStateMachine):
    """Inject faults into members, links and the log in any order."""

    @initialize(
        size=st.integers(2, MAX_MEMBERS),
        limit=st.integers(1, 60),
        seed=st.integers(0, 999),
    )
    def start(self, size: int, limit: int, seed: int) -> None:
        """Start the members."""
        self.cluster = SimulatedCluster(size, limit, seed)
        self.cluster.advance(3.0)

    def process(self, index: int):
        """Return the process with an index, taken modulo the number of processes."""
        return self.cluster.processes[index % self.cluster.size]

    @rule(seconds=st.sampled_from([0.25, 1.0, 4.0, 6.0, 20.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the time."""
        self.cluster.advance(seconds)

    @rule(index=member_indexes)
    def freeze(self, index: int) -> None:
        """Pause a process; its lease may expire before it resumes."""
        self.process(index).is_frozen = True

    @rule(index=member_indexes)
    def thaw(self, index: int) -> None:
        """Resume a paused process."""
        self.process(index).is_frozen = False

    @rule(index=member_indexes)
    def kill(self, index: int) -> None:
        """Kill a process; its tasks continue."""
        self.process(index).is_dead = True

    @rule(index=member_indexes)
    def restart(self, index: int) -> None:
        """Replace a process by a new one of the same instance."""
        self.cluster.restart(index % self.cluster.size)

    @rule(index=member_indexes, is_cut=st.booleans())
    def cut_from_log(self, index: int, is_cut: bool) -> None:
        """Disconnect one process from the log, or reconnect it."""
        self.process(index).is_cut_from_log = is_cut

    @rule(is_down=st.booleans())
    def take_log_down(self, is_down: bool) -> None:
        """Take the log down for all processes, or bring it back."""
        self.cluster.log_is_down = is_down

    @rule(first=member_indexes, second=member_indexes)
    def cut_link(self, first: int, second: int) -> None:
        """Cut the link between two members."""
        size = self.cluster.size
        self.cluster.cut_links.add(frozenset((first % size, second % size)))

    @rule()
    def mend_links(self) -> None:
        """Restore all links."""
        self.cluster.cut_links.clear()

    @rule(loss=st.sampled_from([0.0, 0.2, 0.5]))
    def lose_messages(self, loss: float) -> None:
        """Set the fraction of messages, reads and appends that is lost."""
        self.cluster.loss_rate = loss

    @rule(limit=st.integers(0, 60))
    def change_limit(self, limit: int) -> None:
        """Publish another upper limit."""
        self.cluster.set_limit(limit)

    @rule(index=member_indexes, wants_units=st.booleans())
    def change_demand(self, index: int, wants_units: bool) -> None:
        """Start or stop the demand for tasks at an entry instance."""
        self.process(index).wants_units = wants_units


LimitMachine.TestCase.settings = settings(stateful_step_count=30)
TestLimitMachine = LimitMachine.TestCase


def make_settled_cluster(
    size: int = 3, limit: int = 30, seed: int = 1
) -> SimulatedCluster:
    """Return a cluster whose members own all slots in equal shares."""
    cluster = SimulatedCluster(size, limit, seed)
    cluster.advance(6.0)
    return cluster


class TestUsableLimit:
    """Test how much of a limit is usable, and how soon after a fault."""

    def test_whole_limit_is_usable(self):
        cluster = make_settled_cluster()
        assert cluster.usable() == 30
        assert cluster.running() > 20

    def test_limit_is_usable_again_after_a_crash_and_restart(self):
        cluster = make_settled_cluster()
        cluster.processes[0].is_dead = True
        cluster.advance(1.0)
        cluster.restart(0)
        cluster.advance(RECOVERY_SECONDS)
        assert cluster.usable() == 30

    def test_slots_of_an_unreachable_member_go_to_the_others(self):
        cluster = make_settled_cluster()
        cluster.processes[0].is_frozen = True
        cluster.advance(RECOVERY_SECONDS)
        assert cluster.usable() == 30

    def test_frozen_member_rejoins(self):
        cluster = make_settled_cluster()
        cluster.processes[0].is_frozen = True
        cluster.advance(RECOVERY_SECONDS)
        cluster.processes[0].is_frozen = False
        cluster.advance(8.0)
        assert cluster.usable() == 30
        assert cluster.processes[0].member.escrow.usable(TEAM) > 0

    def test_log_outage_leaves_the_limit_usable(self):
        cluster = make_settled_cluster()
        cluster.log_is_down = True
        cluster.advance(120.0)
        assert cluster.usable() == 30

    def test_isolated_member_stops_when_its_view_lease_ends(self):
        cluster = make_settled_cluster()
        cluster.processes[0].is_cut_from_log = True
        cluster.cut_links = {frozenset((0, 1)), frozenset((0, 2))}
        cluster.advance(TIMING.view_lease_seconds + 0.5)
        assert not cluster.processes[0].member.may_run(cluster.now)

    def test_busy_member_borrows_the_units_of_idle_ones(self):
        cluster = make_settled_cluster()
        for process in cluster.processes[1:]:
            process.wants_units = False
        cluster.advance(3 * TASK_LEASE_SECONDS + 5.0)
        assert len(cluster.processes[0].tasks) >= 24

    def test_limit_is_usable_again_after_all_members_restart(self):
        cluster = make_settled_cluster()
        for index in range(3):
            cluster.restart(index)
        cluster.advance(RECOVERY_SECONDS)
        assert cluster.usable() == 30

    def test_running_work_falls_to_a_lowered_limit(self):
        cluster = make_settled_cluster()
        cluster.set_limit(6)
        cluster.advance(SETTLE_SECONDS + 3 * TASK_LEASE_SECONDS + 1.0)
        assert cluster.allowed() == 6
        assert 0 < cluster.running() <= 6


class TestPartitions:
    """Test partitions; the simulation checks the limit in every step."""

    def split(
        self, cluster: SimulatedCluster, group: set[int], is_cut_from_log: bool = True
    ) -> None:
        """Disconnect a group from the others, and from the log unless told not to."""
        for index in range(cluster.size):
            if index in group:
                cluster.processes[index].is_cut_from_log = is_cut_from_log
                others = set(range(cluster.size)) - group
                cluster.cut_links |= {frozenset((index, other)) for other in others}

    def test_majority_without_the_log_and_minority_with_it_may_run(self):
        cluster = make_settled_cluster(5, 40)
        self.split(cluster, {0, 1, 2})
        cluster.advance(2 * RECOVERY_SECONDS)
        assert all(p.member.may_run(cluster.now) for p in cluster.processes)

    def test_minority_without_the_log_stops_and_its_units_are_used(self):
        cluster = make_settled_cluster(5, 40)
        self.split(cluster, {0, 1})
        cluster.advance(2 * RECOVERY_SECONDS)
        assert not cluster.processes[0].member.may_run(cluster.now)
        assert cluster.usable() == 40

    def test_limit_is_usable_again_after_a_partition_heals(self):
        cluster = make_settled_cluster(5, 40)
        self.split(cluster, {0, 1, 2})
        cluster.advance(2 * RECOVERY_SECONDS)
        for process in cluster.processes:
            process.is_cut_from_log = False
        cluster.cut_links.clear()
        cluster.advance(2 * RECOVERY_SECONDS)
        assert cluster.usable() == 40
