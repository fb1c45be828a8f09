"""Test that deferred jobs never vanish, and finish once where they must."""

from baobablane.deferred import (
    Accepted,
    Claimed,
    DeferredJobTable,
    Finished,
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
        table = DeferredJobTable(RETENTION_SECONDS)
        late = Claimed("c2", "team/j1", "e2")
        feed(table, JOB, CLAIM, late)
        assert table.get("team/j1").claim == CLAIM

    def test_claim_that_replaces_the_one_in_force_wins(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        replacement = Claimed("c2", "team/j1", "e2", replaces="c1")
        feed(table, JOB, CLAIM, replacement, replacement)
        assert table.get("team/j1").claim == replacement

    def test_first_outcome_stands(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM, DONE, Finished("team/j1", 304))
        assert table.get("team/j1").finished == DONE

    @given(st.integers(1, 9))
    def test_unfinished_job_outlives_many_retentions(self, rounds):
        table = DeferredJobTable(RETENTION_SECONDS)
        offset = feed(table, JOB, CLAIM)
        for number in range(1, rounds + 1):
            now = number * RETENTION_SECONDS / 2
            copies = table.due_copies(now)
            assert [item.accepted for item in copies] == [JOB]
            restored = DeferredJobTable(RETENTION_SECONDS)
            restored.skip_to(offset)
            feed(restored, *copies, at=now)
            feed(table, *copies, offset=offset, at=now)
            offset += len(copies)
            assert dict(restored.unfinished())["team/j1"].claim == CLAIM
            assert not restored.get("team/j1").may_have_run

    def test_finished_job_is_not_carried(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, DONE)
        assert table.due_copies(RETENTION_SECONDS * 2) == []

    def test_late_copy_of_a_finished_job_is_not_run_again(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM)
        copies = table.due_copies(RETENTION_SECONDS)
        restored = DeferredJobTable(RETENTION_SECONDS)
        restored.skip_to(2)
        feed(restored, DONE, *copies)
        assert list(restored.unfinished()) == []

    def test_copy_whose_outcome_may_have_expired_says_so(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM)
        copies = table.due_copies(RETENTION_SECONDS)
        restored = DeferredJobTable(RETENTION_SECONDS)
        # The outcome at offset 2 has expired, the copy that lagged has not.
        restored.skip_to(3)
        feed(restored, *copies)
        assert restored.get("team/j1").may_have_run
