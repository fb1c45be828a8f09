"""Test the plans that are drawn from seeds."""

from soak._calm_plan import make_calm_plan
from soak._plan import (
    KIND_GROUPS,
    link_names,
    make_plan,
)


class TestSeed:
    """Test that a seed can be played again."""

    def test_same_seed_gives_the_same_plan(self):
        assert make_plan(7, 20.0) == make_plan(7, 20.0)
        assert str(make_plan(7, 20.0)) == str(make_plan(7, 20.0))

    def test_other_seeds_give_other_plans(self):
        plans = [make_plan(seed, 20.0) for seed in range(20)]
        assert len({plan.faults for plan in plans}) == 20


class TestFaults:
    """Test which faults are drawn."""

    def test_all_end_with_the_soak(self):
        # A fault that lasted longer would be taken for a recovery that fails.
        for seed in range(50):
            assert all(f.ends_at < 20.01 for f in make_plan(seed, 20.0).faults)

    def test_each_kind_and_link_occurs(self):
        faults = [f for seed in range(100) for f in make_plan(seed, 20.0).faults]
        kinds = {kind for group, _ in KIND_GROUPS for kind in group}
        assert {fault.kind for fault in faults} == kinds
        assert set(link_names()) <= {t for fault in faults for t in fault.targets}


class TestCalm:
    """Test plans with few faults, in which promises on waiting can be judged."""

    def test_same_seed_gives_the_same_plan(self):
        assert make_calm_plan(7, 90.0) == make_calm_plan(7, 90.0)
        assert make_calm_plan(7, 90.0).faults != make_calm_plan(8, 90.0).faults

    def test_last_fault_leaves_time_to_judge(self):
        for seed in range(50):
            faults = make_calm_plan(seed, 90.0).faults
            assert max(fault.at for fault in faults) <= 76.0
            assert max(fault.ends_at for fault in faults) < 90.01

    def test_faults_are_few(self):
        count = sum(len(make_calm_plan(seed, 90.0).faults) for seed in range(50))
        usual = sum(len(make_plan(seed, 90.0).faults) for seed in range(50))
        assert 50 * 3 < count < usual / 5

    def test_long_running_jobs_leave_room(self):
        for seed in range(50):
            jobs = make_calm_plan(seed, 90.0).jobs
            assert 3 <= sum(job.kind == "serving" for job in jobs) <= 5
