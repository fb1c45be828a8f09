"""Test the lines of the scheduler's events."""

import io
import json

from baobablane.scheduling import SchedulingEvent
from baobablane.scheduling._wait_inputs import WaitInputs

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.owner._event_log import log_events


def write(event):
    """Return the line of an event as written."""
    stream = io.BytesIO()
    log = DecisionLog("m1", stream)
    log_events(log, [event])
    log.flush()
    return json.loads(stream.getvalue())


class TestWaits:
    """Test that a line tells what is unknown from what is zero."""

    def test_unknown_age_is_null(self):
        inputs = WaitInputs(is_restored=True, losses=2, ends_in_seconds=0.0)
        line = write(SchedulingEvent("task-waits", "1" * 16, "0.0.0", wait=inputs))
        assert line["wait"]["run_seconds"] is None
        assert line["wait"]["silent_seconds"] is None
        assert line["wait"]["ends_in_seconds"] == 0.0

    def test_other_events_have_no_such_field(self):
        assert "wait" not in write(SchedulingEvent("task-placed", "1" * 16, "0.0.0"))
