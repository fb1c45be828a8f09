"""Test what registrations of instances tell about the processes of owners."""

import math

import pytest
from baobablane_platform import KeyedRecord

from baobablane_daemon.jobs import OwnerHeartbeat, Peer, Views, make_holder
from baobablane_daemon.jobs._peer import encode_peer
from baobablane_daemon.jobs._process_ends import ProcessEnds

OWNER = make_holder("a", 10)
EPOCH = 4
HEARTBEAT = OwnerHeartbeat(100.0, 100_000, EPOCH, OWNER, True)
# Its name does not tell the order, as clocks may be stepped.
REPLACEMENT = Peer("a:1", make_holder("a", 9), EPOCH)


@pytest.fixture
def ends():
    """Return ends without registrations."""
    return ProcessEnds()


class TestProcessEnds:
    """Test by when the process of an owner has ended."""

    @pytest.mark.parametrize("known_epoch", [EPOCH, EPOCH + 2])
    def test_replaced_owner_had_ended_when_that_was_read(self, ends, known_epoch):
        ends.observe("a", Peer("a:1", REPLACEMENT.holder, known_epoch), 105.0)
        assert ends.ended_by(HEARTBEAT) == 105.0

    @pytest.mark.parametrize(
        ("instance", "peer"),
        [
            pytest.param("a", Peer("a:1", OWNER, EPOCH), id="its own"),
            pytest.param(
                "a", Peer("a:1", REPLACEMENT.holder, EPOCH - 1), id="earlier process"
            ),
            pytest.param("b", REPLACEMENT, id="record of another instance"),
            pytest.param(
                "b", Peer("b:1", make_holder("b", 9), EPOCH), id="another instance"
            ),
            pytest.param(
                "a", Peer("a:1", make_holder("b", 9), EPOCH), id="foreign process"
            ),
            pytest.param("a", Peer("a:1"), id="earlier version"),
        ],
    )
    def test_other_registrations_tell_nothing(self, ends, instance, peer):
        ends.observe(instance, peer, 105.0)
        assert ends.ended_by(HEARTBEAT) == math.inf

    def test_record_that_is_read_again_changes_nothing(self, ends):
        ends.observe("a", REPLACEMENT, 105.0)
        ends.observe("a", REPLACEMENT, 109.0)
        assert ends.ended_by(HEARTBEAT) == 105.0

    def test_views_pass_registrations_on(self):
        views = Views(None, None)
        views._on_job_record(KeyedRecord("peer/a", encode_peer(REPLACEMENT)))
        ended_by = views.process_ends.ended_by(HEARTBEAT)
        assert ended_by < math.inf
        views._on_job_record(KeyedRecord("peer/a", None))
        assert views.process_ends.ended_by(HEARTBEAT) == ended_by
