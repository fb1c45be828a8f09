"""Test how entry instances read an owner's heartbeats."""

import pytest

from baobablane_daemon.jobs import (
    LeaseBounds,
    OwnerHeartbeat,
    UpstreamBound,
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


class TestLeaseBounds:
    """Test what the next owner reads of leases that an owner does not renew."""

    BOUNDS = LeaseBounds({"u0": UpstreamBound(7, 1_250, 3)}, -0.25, 1_765_000)

    def test_bounds_are_decoded_as_recorded(self):
        record = encode_owner_heartbeat(
            UNIX_MS, 4, "a", True, number=5, lease_bounds=self.BOUNDS
        )
        heartbeat = decode_owner_heartbeat(record, None, UNIX_MS, 50.0)
        assert heartbeat.lease_bounds == self.BOUNDS
        assert heartbeat.read_at == 50.0

    def test_record_of_an_older_version_tells_nothing(self):
        record = b'{"at_ms":1,"epoch":1,"holder":"a","is_large":true}'
        heartbeat = decode_owner_heartbeat(record, None, UNIX_MS, 50.0)
        assert heartbeat.lease_bounds == LeaseBounds()
        assert heartbeat.lease_bounds.earlier_renewal_age is None

    @pytest.mark.parametrize(("epoch", "number"), [(4, 4), (3, 9)])
    def test_older_heartbeat_of_another_topic_is_told(self, epoch, number):
        """Guards against bounds from before leases were granted again."""

        def decode(epoch, number):
            record = encode_owner_heartbeat(1, epoch, "a", True, number=number)
            return decode_owner_heartbeat(record, None, UNIX_MS, 50.0)

        assert decode(epoch, number).is_older_than(decode(4, 5))
        assert not decode(4, 5).is_older_than(decode(epoch, number))
