"""Test when a stand-in upstream's runs start and end."""

import pytest

from baobablane_standin.platform import StandinUpstream

TASK = "00000000000000a1.0.0.0"
FAR_MS = 1_000_000


def make_upstream():
    """Return an upstream that keeps its events."""
    events = []
    upstream = StandinUpstream("u0", "pool-a", "")
    upstream.on_event = lambda name, fields: events.append((name, dict(fields)))
    return upstream, events


def make_order(**fields):
    """Return an order that starts a run."""
    order = {"task": TASK, "run": 1, "spec": "0", "deadlineMs": FAR_MS}
    return {**order, "fencingToken": 1, **fields}


class TestStarts:
    """Test which orders start a run."""

    def test_late_order_does_not_start_though_the_lease_is_fresh(self):
        upstream, _ = make_upstream()
        assert upstream.start(make_order())[0] == 200
        late = make_order(task="00000000000000a2.0.0.0", deadlineMs=-1)
        status, response = upstream.start(late)
        assert (status, response["reason"]) == (409, "late")


class TestEnds:
    """Test how runs end."""

    def test_run_is_done_when_its_time_has_passed(self):
        upstream, events = make_upstream()
        upstream.start(make_order())
        upstream.end_due_runs()
        assert [name for name, _ in events] == ["start", "end"]
        assert events[1][1]["how"] == "done"

    async def test_crash_names_what_ran(self):
        upstream, events = make_upstream()
        upstream.start(make_order(spec="100000"))
        upstream.crash()
        upstream.crash()
        crashes = [fields for name, fields in events if name == "crash"]
        assert [fields["running"] for fields in crashes] == [[TASK]]

    @pytest.mark.parametrize(
        ("spec", "percent"), [("100000", 0), ("100000 serve", 100)]
    )
    async def test_serving_run_is_ready_at_once(self, spec, percent):
        upstream, _ = make_upstream()
        upstream.start(make_order(spec=spec))
        order = {"fencingToken": 1, "ackCursor": 0}
        _, report = await upstream.renew_leases(order)
        assert report["running"] == [[TASK, 1, "", percent, 0]]
