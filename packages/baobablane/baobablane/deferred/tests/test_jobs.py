"""Test that deferred jobs are never lost and keep their first outcome."""

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
    """Append records to a table and return the next offset."""
    offset = table.next_offset if offset is None else offset
    for number, record in enumerate(records):
        payload = encode_record(record)
        table.feed([LogRecord(offset + number, at, payload)])
    return offset + len(records)


class TestDeferredJobTable:
    """Test claims, outcomes, and copies that outlive the log's retention."""

    def test_claim_that_replaces_nothing_loses_to_the_first(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        second = Claimed("c2", "team/j1", "e2")
        feed(table, JOB, CLAIM, second)
        assert table.get("team/j1").claim == CLAIM

    def test_claim_that_names_the_current_one_replaces_it(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        replacement = Claimed("c2", "team/j1", "e2", replaces="c1")
        feed(table, JOB, CLAIM, replacement, replacement)
        assert table.get("team/j1").claim == replacement

    def test_later_outcome_does_not_replace_the_first(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM, DONE, Finished("team/j1", 304))
        assert table.get("team/j1").finished == DONE

    @given(st.integers(1, 9))
    def test_copies_keep_an_unfinished_job_past_many_retentions(self, rounds):
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

    def test_finished_job_is_not_copied(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, DONE)
        assert table.due_copies(RETENTION_SECONDS * 2) == []

    def test_late_copy_does_not_reopen_a_finished_job(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM)
        copies = table.due_copies(RETENTION_SECONDS)
        restored = DeferredJobTable(RETENTION_SECONDS)
        restored.skip_to(2)
        feed(restored, DONE, *copies)
        assert list(restored.unfinished()) == []

    def test_copy_after_expired_records_says_that_the_job_may_have_run(self):
        table = DeferredJobTable(RETENTION_SECONDS)
        feed(table, JOB, CLAIM)
        copies = table.due_copies(RETENTION_SECONDS)
        restored = DeferredJobTable(RETENTION_SECONDS)
        # The outcome at offset 2 has expired, but the late copy after it has not.
        restored.skip_to(3)
        feed(restored, *copies)
        assert restored.get("team/j1").may_have_run
