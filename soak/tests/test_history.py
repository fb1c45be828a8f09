"""Test what checks are shown."""

import json

from soak._breach import Breach
from soak._history import History


class TestTick:
    """Test that time passes for the checks while nothing happens."""

    def test_checks_see_a_tick_that_is_no_event(self, tmp_path):
        def check(event):
            yield Breach("late", event.at, event.name, "")

        path = tmp_path / "events.jsonl"
        history = History(path, [check])
        history.record("start", task="a")
        history.tick()
        history.close()
        assert [breach.detail for breach in history.breaches] == ["start", "tick"]
        assert [event.name for event in history.events] == ["start"]
        rows = map(json.loads, path.read_text().splitlines())
        assert [row["event"] for row in rows] == ["start"]
