"""Test which jobs are rejected for load, and when they should come back."""

from dataclasses import replace

import msgspec
import pytest

from baobablane.admission import (
    MAX_LOAD_AGE_SECONDS,
    MAX_LOAD_RECORD_BYTES,
    AccountLoad,
    JobDemand,
    LoadSummary,
    PoolLoad,
    RejectionAudit,
    decide_rejection,
    decode_load,
    describe_demand,
    encode_load,
)
from baobablane.scheduling.tests.fleet_model import make_job, make_queue, make_step

FLOOD = AccountLoad("flood", 0, 1.5, 300.0, 900.0, 120)
OTHER = AccountLoad("calm", 0, 0.0, 100.0, 0.0, 10)
POOL = PoolLoad(64.0, 0.0, 2.0, 0.5, 20.0, 1300.0, 64.0, 500.0, (FLOOD, OTHER))
DEMAND = JobDemand("0" * 16, "flood", "pool", 0, 10.0, 1.6, 3.2, 8.0, 2.0, True)


def make_summary(**changes):
    """Return a summary of one pool, in which some fields have other values."""
    pool = msgspec.structs.replace(POOL, **changes)
    return LoadSummary(1_000, 7, {"pool": pool})


class TestDecision:
    """Test that a job is rejected only if every condition holds."""

    def test_flooding_account_is_rejected(self):
        """Guard against a flood of which every job is accepted, though too late."""
        rejection = decide_rejection(DEMAND, make_summary(), 0.0)
        assert rejection.ahead_core_seconds == 1300.0
        assert rejection.predicted_seconds == pytest.approx(1300 / 64 + 1.6)
        assert rejection.version == 7

    @pytest.mark.parametrize(
        ("demand", "pool", "age"),
        [
            pytest.param({"account": "calm"}, {}, 0.0, id="within its share"),
            pytest.param({"account": "new"}, {}, 0.0, id="without a standing"),
            pytest.param({"may_be_rejected": False}, {}, 0.0, id="long-running"),
            pytest.param({"pool": "other"}, {}, 0.0, id="pool without a backlog"),
            pytest.param({}, {}, MAX_LOAD_AGE_SECONDS, id="old record"),
            pytest.param({}, {"waiting": 30.0}, 0.0, id="small backlog"),
            pytest.param(
                {}, {"free_cores": 8.0, "largest_room_cores": 2.0}, 0.0, id="free now"
            ),
            pytest.param({}, {"arriving_cores": 200.0}, 0.0, id="free in time"),
            pytest.param({}, {"drain_rate": 0.0, "cores": 0.0}, 0.0, id="no capacity"),
            pytest.param(
                {"core_seconds": 1.0},
                {"accounts": (FLOOD, msgspec.structs.replace(OTHER, in_time=20.0))},
                0.0,
                id="goes before larger ones",
            ),
            pytest.param({"priority": -1}, {}, 0.0, id="of a higher priority"),
        ],
    )
    def test_job_is_accepted(self, demand, pool, age):
        """Guard against the rejection of a job that has to be accepted."""
        assert decide_rejection(
            replace(DEMAND, **demand), make_summary(**pool), age
        ) is (None)

    def test_job_is_accepted_without_a_record(self):
        """Guard against rejections while there is no owner."""
        assert decide_rejection(DEMAND, None, 0.0) is None

    @pytest.mark.parametrize("step", [{"is_lasting": True}, {}])
    def test_long_running_and_periodic_jobs_may_not_be_rejected(self, step):
        """Guard against the loss of jobs that have no objective."""
        job = make_job(make_step(**step))
        if not step:
            job = msgspec.structs.replace(job, occurrences=3, interval_ms=1_000)
        assert not describe_demand(job, make_queue()).may_be_rejected


class TestReturns:
    """Test the spread of Retry-After."""

    def test_job_that_returns_in_its_slot_is_accepted(self):
        """Guard against a second rejection while the prediction holds."""
        for number in range(200):
            demand = replace(DEMAND, id=f"{number:016x}")
            seconds = decide_rejection(demand, make_summary(), 0.3).retry_after_seconds
            done = 64.0 * (seconds + 0.3)
            flood = msgspec.structs.replace(
                FLOOD, in_time=0.0, late=max(0.0, 1300.0 - done)
            )
            later = make_summary(running=0.0, waiting=flood.late, accounts=(flood,))
            assert decide_rejection(demand, later, 0.0) is None

    def test_returns_are_spread_over_the_drain(self):
        """Guard against returns that come all at once and are rejected again."""
        slots = [
            decide_rejection(
                replace(DEMAND, id=f"{number:016x}"), make_summary(), 0.0
            ).retry_after_seconds
            for number in range(1_000)
        ]
        # Rejections end after 12.3 s, and the drain after 20.3 s.
        assert set(slots) == set(range(13, 22))
        assert max(slots.count(slot) for slot in set(slots)) < 2 * 1_000 / 9


class TestRecord:
    """Test the load record."""

    def test_record_has_a_bounded_size(self):
        """Guard against slow reads over narrow links, and against lost offenders."""
        accounts = tuple(
            AccountLoad(f"account-{n}", 0, float(n < 3), 100.0 + n, 1.0, 9)
            for n in range(50)
        )
        pool = msgspec.structs.replace(POOL, accounts=accounts)
        pools = {f"pool-{n}": pool for n in range(5)}
        record = encode_load(LoadSummary(1, 1, pools))
        assert len(record) <= MAX_LOAD_RECORD_BYTES
        for pool in decode_load(record).pools_by_name.values():
            assert {row.account for row in pool.accounts if row.standing} == {
                "account-0",
                "account-1",
                "account-2",
            }


class TestAudit:
    """Test the check of earlier rejections."""

    @pytest.mark.parametrize(
        ("drained", "verdicts"), [(1800.0, [True]), (900.0, [False])]
    )
    def test_work_done_by_the_latest_start_shows_a_wrong_rejection(
        self, drained, verdicts
    ):
        """Guard against wrong rejections that no counter shows."""
        audit = RejectionAudit()
        audit.add(decide_rejection(DEMAND, make_summary(), 0.0), 10.0)
        assert audit.settle(make_summary(drained=600.0), 0.0, 11.0) == []
        assert audit.settle(make_summary(drained=drained), 0.0, 11.7) == verdicts

    def test_end_of_the_backlog_shows_a_wrong_rejection(self):
        """Guard against rejections that stay unchecked as no more records come."""
        audit = RejectionAudit()
        audit.add(decide_rejection(DEMAND, make_summary(), 0.0), 10.0)
        assert audit.settle(LoadSummary(2_000, 8), 0.0, 11.0) == [True]
