"""Test which evacuated zones the views show."""

import io

from baobablane_platform import KeyedRecord, NewestPage

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import Views

from .test_topic_tail import PagedStore


class NewestStore(PagedStore):
    """Return the newest records of the keys that exist."""

    keys = ("evacuate/a", "evacuate/a", "evacuate/b", "evacuate/")

    async def read_newest(self, topic, partition, after, on_data=None):
        """Return one page with all keys."""
        return NewestPage(1, [KeyedRecord(key, b"{}") for key in self.keys], None)


async def test_zone_is_withdrawn_when_the_topic_is_read_anew():
    """Guard against a zone that stays closed for good after its record expired."""
    store, output = NewestStore([]), io.BytesIO()
    views = Views(store, DecisionLog("entry-1", output))
    await views.operator_tail.catch_up()
    assert views.evacuated_zones == {"a", "b"}
    store.keys = ("evacuate/b",)
    views.operator_tail.skip_to_newest()
    await views.operator_tail.catch_up()
    assert views.evacuated_zones == {"b"}
    # The malformed key was skipped, and the repeated record changed nothing.
    lines = output.getvalue().decode()
    events = ("evacuation-began", "evacuation-ended", "record-skipped")
    assert [lines.count(event) for event in events] == [2, 1, 2]
