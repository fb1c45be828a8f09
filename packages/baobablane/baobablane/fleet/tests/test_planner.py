"""Test moves and maintenance waves under failures, in virtual time."""

from baobablane.config import (
    Change,
    ConfigState,
    Instance,
    Placement,
    PlacementPhase,
    Pool,
    Service,
    Settings,
    Wave,
    WavePhase,
    apply_record,
    build_view,
    entry_key,
    pool_of_instance,
)
from baobablane.fleet import DrainReport, FleetObservations, is_drained, plan_steps
from baobablane.membership import (
    Join,
    MemberAddress,
    MembershipState,
    Notice,
    NoticeGround,
    Reclaim,
)
from baobablane.membership import apply_record as apply_member_record
from hypothesis import given
from hypothesis import strategies as st

POOLS = ("p0", "p1", "spare")
FLOOR = 4
REBOOT_SECONDS = 60.0


class SimulatedFleet:
    """Simulate a configuration and the state of its upstreams."""

    def __init__(self):
        """Start three pools of six upstreams, in racks of up to four in three zones."""
        self.state = ConfigState()
        self.offset = 0
        self.now = 0.0
        self.failed: set[str] = set()
        self.busy: set[str] = set()
        self.phase_started_at: dict[str, float] = {}
        self.budget = {"s0": 1.0}
        entries = [Settings(3, 0.1, REBOOT_SECONDS)]
        entries += [Pool(name, (), name == "spare") for name in POOLS]
        entries += [Service(f"s{n}", p, 0.99, 60, FLOOR) for n, p in enumerate(POOLS)]
        for number in range(18):
            zone = "abc"[number % 3]
            rack = f"{zone}{number // 3 // 4}"
            name = f"w{number:02d}"
            pool = POOLS[number // 6]
            entries.append(Instance(name, "h", 1, zone, rack, pool, 8, 64, 1, 1))
        self.publish(*entries)

    def publish(self, *entries, expects=None):
        """Publish entries, and return the result of applying them."""
        if expects is None:
            expects = {
                entry_key(e): self.state.revision_of(entry_key(e)) for e in entries
            }
        change = Change(f"c{self.offset}", "t", expects, tuple(entries))
        self.state, result = apply_record(self.state, self.offset, change)
        self.offset += 1
        for entry in entries:
            if isinstance(entry, Placement) and result.accepted:
                self.phase_started_at[entry.instance] = self.now
        return result

    def plan(self):
        """Return the steps that a planner plans now."""
        observations = FleetObservations(
            frozenset(self.failed),
            lambda name, revision: name not in self.busy,
            lambda name: self.now - self.phase_started_at[name],
            self.budget,
        )
        return plan_steps(self.state, build_view(self.state), observations)

    def step(self):
        """Publish the steps that a planner plans now, and advance the time."""
        for planned in self.plan():
            self.publish(planned.entry, expects=planned.expects)
        self.now += 10.0

    def ready(self, pool):
        """Return the upstreams of a pool that serve and do not fail."""
        members = build_view(self.state).serving_by_pool[pool]
        return [instance for instance in members if instance.id not in self.failed]

    def start_wave(self):
        """Start a maintenance wave over every instance."""
        names = tuple(sorted(build_view(self.state).instances_by_id))
        self.publish(Wave("w", WavePhase.RUNNING, names))

    def wave(self):
        """Return the maintenance wave."""
        return build_view(self.state).waves_by_name["w"]


class TestWave:
    """Test that a wave reboots all instances; no pool falls below its ready floor."""

    def test_wave_reboots_every_instance_and_ends(self):
        fleet = SimulatedFleet()
        fleet.start_wave()
        rebooted = set()
        for _ in range(400):
            fleet.step()
            view = build_view(fleet.state)
            for placement in view.placements_by_instance.values():
                if placement.phase is PlacementPhase.REBOOTING:
                    rebooted.add(placement.instance)
            assert all(len(fleet.ready(pool)) >= FLOOR for pool in POOLS)
        assert fleet.wave().phase is WavePhase.DONE
        assert len(rebooted) == 18

    @given(st.lists(st.tuples(st.integers(0, 17), st.booleans()), max_size=40))
    def test_wave_never_goes_below_the_ready_floor(self, events):
        fleet = SimulatedFleet()
        fleet.start_wave()
        for number, is_failure in events:
            name = f"w{number:02d}"
            (fleet.failed.add if is_failure else fleet.failed.discard)(name)
            before = {pool: len(fleet.ready(pool)) for pool in POOLS}
            fleet.step()
            for pool in POOLS:
                after = len(fleet.ready(pool))
                assert after >= min(before[pool], FLOOR)

    def test_busy_upstream_is_not_rebooted(self):
        fleet = SimulatedFleet()
        fleet.busy = {f"w{n:02d}" for n in range(18)}
        fleet.start_wave()
        for _ in range(20):
            fleet.step()
        phases = {
            p.phase for p in build_view(fleet.state).placements_by_instance.values()
        }
        assert phases == {PlacementPhase.DRAINING}

    def test_correlated_failure_pauses_the_wave(self):
        fleet = SimulatedFleet()
        fleet.start_wave()
        fleet.step()
        view = build_view(fleet.state)
        rack = [
            i.id
            for i in view.instances_by_id.values()
            if i.rack == "b0" and view.is_serving(i.id)
        ]
        fleet.failed.update(rack[:2])
        fleet.step()
        assert fleet.wave().phase is WavePhase.PAUSED
        assert fleet.wave().reason == "2 upstreams of rack b0 fail"

    def test_low_availability_budget_pauses_the_wave(self):
        fleet = SimulatedFleet()
        fleet.budget["s0"] = 0.1
        fleet.start_wave()
        fleet.step()
        assert fleet.wave().phase is WavePhase.PAUSED

    def test_wave_continues_without_an_instance_that_fails_to_reboot(self):
        fleet = SimulatedFleet()
        fleet.failed = {"w06"}
        fleet.start_wave()
        for _ in range(400):
            fleet.step()
        assert fleet.wave().phase is WavePhase.DONE
        view = build_view(fleet.state)
        assert not view.is_serving("w06")
        assert len(fleet.ready("p1")) == 5

    def test_second_planner_repeats_no_step(self):
        fleet = SimulatedFleet()
        fleet.start_wave()
        first, second = fleet.plan(), fleet.plan()
        assert all(fleet.publish(s.entry, expects=s.expects).accepted for s in first)
        assert not any(
            fleet.publish(s.entry, expects=s.expects).accepted for s in second
        )


class TestMove:
    """Test that moves wait for the drain, and that one of two racing moves fails."""

    def test_move_drains_then_reassigns(self):
        fleet = SimulatedFleet()
        fleet.busy = {"w12"}
        move = Placement("w12", "spare", PlacementPhase.DRAINING, next_pool="p0")
        fleet.publish(move)
        fleet.step()
        assert pool_of_instance(fleet.state.entries_by_key, "w12") == "spare"
        fleet.busy.clear()
        fleet.step()
        assert pool_of_instance(fleet.state.entries_by_key, "w12") == "p0"
        assert len(fleet.ready("p0")) == 7

    def test_second_of_two_racing_moves_is_rejected(self):
        fleet = SimulatedFleet()
        expects = {"placement/w12": -1}
        one = Placement("w12", "spare", PlacementPhase.DRAINING, next_pool="p0")
        two = Placement("w12", "spare", PlacementPhase.DRAINING, next_pool="p1")
        assert fleet.publish(one, expects=expects).accepted
        assert not fleet.publish(two, expects=expects).accepted


class TestDrain:
    """Test that a drain waits for every member that may have work on the upstream."""

    def make_membership(self):
        """Return the state of a membership with two members, a and b."""
        state = MembershipState()
        for offset, name in enumerate("ab"):
            join = Join(f"j{name}", name, name, MemberAddress("h", 1, 2, "z"))
            state, _ = apply_member_record(state, offset, join)
        return state

    def test_drained_when_all_members_report_no_work(self):
        reports = {name: DrainReport(5, 10.0) for name in "ab"}
        assert is_drained("w", 5, self.make_membership(), reports, 9.0)

    def test_not_drained_while_one_member_has_work(self):
        reports = {"a": DrainReport(5, 10.0), "b": DrainReport(5, 10.0, {"w": 1})}
        assert not is_drained("w", 5, self.make_membership(), reports, 9.0)

    def test_not_drained_until_every_member_has_read_the_drain(self):
        reports = {"a": DrainReport(5, 10.0), "b": DrainReport(4, 10.0)}
        assert not is_drained("w", 5, self.make_membership(), reports, 9.0)

    def test_not_drained_without_a_recent_report(self):
        reports = {"a": DrainReport(5, 10.0), "b": DrainReport(5, 8.0)}
        assert not is_drained("w", 5, self.make_membership(), reports, 9.0)

    def test_not_drained_until_a_suspected_member_is_reclaimed(self):
        reports = {"a": DrainReport(5, 10.0)}
        state = self.make_membership()
        notice = Notice("n", "b", 1, NoticeGround.SUSPECTED)
        state, _ = apply_member_record(state, 2, notice)
        assert not is_drained("w", 5, state, reports, 9.0)
        state, _ = apply_member_record(state, 3, Reclaim("r", "b", 2))
        assert is_drained("w", 5, state, reports, 9.0)
