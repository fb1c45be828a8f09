"""Test when an owner is suspected to be lost."""

from dataclasses import replace

import pytest
from baobablane.succession import OwnerSigns, Suspicion, find_suspicion

WELL = OwnerSigns(
    store_well_for=60.0,
    heartbeat_age=0.3,
    message_age=0.05,
    message_count=50,
    longest_message_gap=0.12,
    disconnected_for=None,
    unconfirmed_for=0.35,
    writes_failing_for=0.0,
)


class TestSigns:
    """Test the verdict on each combination of signs."""

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({}, None),
            # A process that was killed, and one that reset its connections.
            ({"disconnected_for": 0.15, "message_age": 0.2}, Suspicion.DISCONNECTED),
            ({"disconnected_for": 0.05, "message_age": 0.1}, None),
            # Its heartbeats go on: only the way to it is cut.
            (
                {
                    "disconnected_for": 0.9,
                    "message_age": 0.95,
                    "unconfirmed_for": 1.0,
                },
                None,
            ),
            # The store turns it away.
            ({"writes_failing_for": 0.22}, Suspicion.REJECTED),
            ({"writes_failing_for": 0.15}, None),
            # The store was away for all, and is back.
            ({"writes_failing_for": 3.0, "store_well_for": 0.1}, None),
            # The store rejects a part of all calls: a read of the watcher failed.
            ({"writes_failing_for": 0.3, "store_well_for": 0.5}, None),
            # Nothing is known of the present.
            ({"writes_failing_for": 0.3, "message_age": 0.4}, None),
            # It is cut off from the store.
            (
                {"unconfirmed_for": 0.7, "heartbeat_age": 0.7},
                Suspicion.CUT_OFF,
            ),
            (
                {
                    "unconfirmed_for": 3.0,
                    "heartbeat_age": 3.0,
                    "store_well_for": 0.5,
                },
                None,
            ),
            # Its round took long, and the record is on its way.
            (
                {
                    "unconfirmed_for": 0.75,
                    "heartbeat_age": 0.75,
                    "longest_message_gap": 0.7,
                },
                None,
            ),
            # Its heartbeats were stored: an answer to it was lost.
            ({"unconfirmed_for": 0.7, "heartbeat_age": 0.3}, None),
            # This instance lags behind: others may have read its heartbeats.
            ({"unconfirmed_for": 0.1, "heartbeat_age": 0.7}, None),
            # It is frozen, without power, or cut off from everything.
            ({"message_age": 0.65, "heartbeat_age": 0.65}, Suspicion.SILENT),
            (
                {"message_age": 3.0, "heartbeat_age": 3.0, "store_well_for": 0.5},
                None,
            ),
            # Only its direct messages are lost.
            ({"message_age": 3.0, "heartbeat_age": 0.4}, None),
            # It never sent a message, so only its heartbeats count.
            (
                {
                    "message_age": float("inf"),
                    "message_count": 0,
                    "heartbeat_age": 1.4,
                },
                None,
            ),
            # It has just begun, and reads what all jobs have done.
            ({"message_age": 1.2, "message_count": 3, "heartbeat_age": 1.2}, None),
        ],
    )
    def test_verdict(self, changes, expected):
        assert find_suspicion(replace(WELL, **changes)) is expected

    def test_busy_owner_is_not_taken_for_a_silent_one(self):
        """Guards against a change of owner whenever a round takes long."""
        busy = replace(
            WELL, longest_message_gap=0.5, message_age=1.2, heartbeat_age=1.2
        )
        assert find_suspicion(busy) is None
        assert find_suspicion(replace(busy, message_age=1.6)) is Suspicion.SILENT
