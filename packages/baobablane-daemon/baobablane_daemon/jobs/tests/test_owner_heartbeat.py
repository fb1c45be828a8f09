"""Test how entry instances read an owner's heartbeats."""

import pytest

from baobablane_daemon.jobs import (
    OwnerHeartbeat,
    decode_owner_heartbeat,
    encode_owner_heartbeat,
)

UNIX_MS = 1_000_000


class TestDecode:
    """Test the time at which a heartbeat counts as received.

    The first one that a process reads may come from an owner that was lost earlier.
    """

    def test_first_heartbeat_is_dated_by_its_timestamp(self):
        record = encode_owner_heartbeat(UNIX_MS - 2_200, 1, "a", True)
        heartbeat = decode_owner_heartbeat(record, None, UNIX_MS, 50.0)
        assert heartbeat.received_at == pytest.approx(47.8)

    def test_later_heartbeat_is_dated_by_its_arrival(self):
        previous = OwnerHeartbeat(50.0, UNIX_MS, 1, "a", True)
        record = encode_owner_heartbeat(UNIX_MS - 5_000, 1, "a", True)
        assert (
            decode_owner_heartbeat(record, previous, UNIX_MS, 51.0).received_at == 51.0
        )

    def test_record_read_again_is_no_new_heartbeat(self):
        previous = OwnerHeartbeat(50.0, UNIX_MS, 1, "a", True)
        record = encode_owner_heartbeat(UNIX_MS, 1, "a", True)
        assert (
            decode_owner_heartbeat(record, previous, UNIX_MS, 60.0).received_at == 50.0
        )

    def test_leaving_and_size_are_decoded(self):
        record = encode_owner_heartbeat(UNIX_MS, 3, "a", False, is_leaving=True)
        heartbeat = decode_owner_heartbeat(record, None, UNIX_MS, 50.0)
        assert heartbeat.is_leaving
        assert not heartbeat.is_large
        assert (heartbeat.epoch, heartbeat.holder) == (3, "a")
