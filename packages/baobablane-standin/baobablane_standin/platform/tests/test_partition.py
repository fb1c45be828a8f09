"""Test that the stand-in store gives the guarantees of the platform's store."""

import pytest

from baobablane_standin.platform import Partition, PlatformStore
from baobablane_standin.platform._partition import AppendRejectedError


def record(key, value=b"1"):
    """Return a keyed record: the length of the key, the key and the value."""
    return len(key).to_bytes(1, "big") + key.encode() + value


class TestProducers:
    """Test that epochs and sequence numbers fence and deduplicate appends."""

    def test_repeated_append_is_stored_once_and_gets_the_first_response(self):
        partition = Partition(True)
        first = partition.append([record("a")], ("p", 1, 0))
        assert partition.append([record("a")], ("p", 1, 0)) == first
        assert partition.end_offset == 1

    def test_append_with_a_lower_epoch_is_fenced(self):
        partition = Partition(True)
        partition.append([], ("p", 2, 0))
        with pytest.raises(AppendRejectedError, match="fenced"):
            partition.append([record("a")], ("p", 1, 0))

    def test_sequence_gap_is_rejected_with_the_expected_sequence(self):
        partition = Partition(True)
        partition.append([record("a")], ("p", 1, 0))
        with pytest.raises(AppendRejectedError, match="seq") as error:
            partition.append([record("a")], ("p", 1, 2))
        assert error.value.response["sequence"] == 1

    def test_append_without_a_producer_is_never_fenced(self):
        partition = Partition(True)
        partition.append([], ("p", 2, 0))
        assert partition.append([record("a")], None)["end"] == 1


class TestConditions:
    """Test appends that succeed only if the partition ends at an offset."""

    def test_append_at_another_offset_is_rejected_with_the_end(self):
        partition = Partition(True)
        partition.append([record("a")], None)
        with pytest.raises(AppendRejectedError) as error:
            partition.append([record("b")], ("p", 1, 0), 0)
        assert (error.value.status, error.value.response) == (412, {"end": 1})

    def test_repeated_append_gets_the_first_response_although_its_offset_is_past(self):
        partition = Partition(True)
        first = partition.append([record("a")], ("p", 1, 0), 0)
        assert partition.append([record("b")], ("p", 1, 0), 0) == first

    def test_other_sequence_of_the_same_epoch_is_rejected(self):
        partition = Partition(True)
        partition.append([record("a")], ("p", 1, 10), 0)
        with pytest.raises(AppendRejectedError, match="seq"):
            partition.append([record("b")], ("p", 1, 20), 0)


class TestKeys:
    """Test that the newest record of each key is available."""

    def test_newest_record_stays_after_older_records_are_dropped(self):
        partition = Partition(True)
        partition.append([record("a", b"1"), record("a", b"2")], None)
        partition.drop_before(2)
        assert partition.newest["a"] == (1, b"2")
        assert partition.first_offset == 2

    def test_record_without_a_value_deletes_its_key(self):
        partition = Partition(True)
        partition.append([record("a"), record("a", b"")], None)
        assert partition.newest == {}


class TestGroups:
    """Test which group member owns a partition."""

    def test_partitions_move_when_a_member_expires(self):
        store = PlatformStore()
        assert store.join("g", "a", "t", 1.0, 0.0)["parts"]
        assert store.join("g", "b", "t", 1.0, 0.5)["parts"] == []
        response = store.join("g", "b", "t", 1.0, 1.2)
        assert len(response["parts"]) == 8

    def test_generation_increases_with_each_change_of_members(self):
        store = PlatformStore()
        first = store.join("g", "a", "t", 1.0, 0.0)["generation"]
        store.leave("g", "a")
        assert store.join("g", "b", "t", 1.0, 0.1)["generation"] > first
