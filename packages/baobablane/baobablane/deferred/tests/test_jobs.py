"""Test that deferred jobs never vanish, and finish once where they must."""

from baobablane.deferred import (
    Accepted,
    Claimed,
    Finished,
    JobTable,
    encode_record,
)
from baobablane.log import LogRecord
from hypothesis import given
from hypothesis import strategies as st

RETENTION_SECONDS = 300.0
JOB = Accepted("team/j1", "team", "q", "text/plain", b"work")
CLAIM = Claimed("c1", "team/j1", "e1")
DONE = Finished("team/j1", 0, 200, "text/plain", b"done")


def feed(table, *records, offset=None, at=0.0):
    """Fold records and return the next offset."""
    offset = table.next_offset if offset is None else offset
    for number, record in enumerate(records):
        payload = encode_record(record)
        table.feed([LogRecord(offset + number, at, payload)])
    return offset + len(records)


class TestJobTable:
    """Test claims, outcomes and retention."""

    def test_first_claim_wins(self):
        table = JobTable(RETENTION_SECONDS)
        late = Claimed("c2", "team/j1", "e2")
        feed(table, JOB, CLAIM, late)
        assert table.get("team/j1").claim == CLAIM

    def test_claim_that_replaces_the_one_in_force_wins(self):
        table = JobTable(RETENTION_SECONDS)
        heir = Claimed("c2", "team/j1", "e2", replaces="c1")
        feed(table, JOB, CLAIM, heir, heir)
        assert table.get("team/j1").claim == heir

    def test_first_outcome_stands(self):
        table = JobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM, DONE, Finished("team/j1", 304))
        assert table.get("team/j1").finished == DONE

    @given(st.integers(1, 9))
    def test_unfinished_job_outlives_many_retentions(self, rounds):
        table = JobTable(RETENTION_SECONDS)
        offset = feed(table, JOB, CLAIM)
        for number in range(1, rounds + 1):
            now = number * RETENTION_SECONDS / 2
            carried = table.due_to_carry(now)
            assert [item.accepted for item in carried] == [JOB]
            fresh = JobTable(RETENTION_SECONDS)
            fresh.skip_to(offset)
            feed(fresh, *carried, at=now)
            feed(table, *carried, offset=offset, at=now)
            offset += len(carried)
            assert dict(fresh.unfinished())["team/j1"].claim == CLAIM
            assert not fresh.get("team/j1").may_have_run

    def test_finished_job_is_not_carried(self):
        table = JobTable(RETENTION_SECONDS)
        feed(table, JOB, DONE)
        assert table.due_to_carry(RETENTION_SECONDS * 2) == []

    def test_late_copy_of_a_finished_job_is_not_run_again(self):
        table = JobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM)
        carried = table.due_to_carry(RETENTION_SECONDS)
        fresh = JobTable(RETENTION_SECONDS)
        fresh.skip_to(2)
        feed(fresh, DONE, *carried)
        assert list(fresh.unfinished()) == []

    def test_copy_whose_outcome_may_have_expired_says_so(self):
        table = JobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM)
        carried = table.due_to_carry(RETENTION_SECONDS)
        fresh = JobTable(RETENTION_SECONDS)
        # The outcome at offset 2 has expired, the copy that lagged has not.
        fresh.skip_to(3)
        feed(fresh, *carried)
        assert fresh.get("team/j1").may_have_run
