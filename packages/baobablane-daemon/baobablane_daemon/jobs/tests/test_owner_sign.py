"""Test what entry instances take from an owner's signs."""

import pytest

from baobablane_daemon.jobs import OwnerSign, decode_owner_sign, encode_owner_sign

UNIX_MS = 1_000_000


class TestDecode:
    """Test when an owner was heard."""

    def test_first_sign_read_is_as_old_as_it_says(self):
        record = encode_owner_sign(UNIX_MS - 2_200, 1, "a", True)
        sign = decode_owner_sign(record, None, UNIX_MS, 50.0)
        assert sign.heard_at == pytest.approx(47.8)

    def test_later_sign_was_heard_when_it_came_whatever_its_time(self):
        before = OwnerSign(50.0, UNIX_MS, 1, "a", True)
        record = encode_owner_sign(UNIX_MS - 5_000, 1, "a", True)
        assert decode_owner_sign(record, before, UNIX_MS, 51.0).heard_at == 51.0

    def test_sign_that_is_read_again_is_no_new_one(self):
        before = OwnerSign(50.0, UNIX_MS, 1, "a", True)
        record = encode_owner_sign(UNIX_MS, 1, "a", True)
        assert decode_owner_sign(record, before, UNIX_MS, 60.0).heard_at == 50.0

    def test_leaving_and_size_are_kept(self):
        record = encode_owner_sign(UNIX_MS, 3, "a", False, is_leaving=True)
        sign = decode_owner_sign(record, None, UNIX_MS, 50.0)
        assert sign.is_leaving
        assert not sign.is_large
        assert (sign.epoch, sign.holder) == (3, "a")
