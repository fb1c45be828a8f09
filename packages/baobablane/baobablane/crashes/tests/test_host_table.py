"""Test which ends of upstreams count as crashes."""

from baobablane.crashes import Host, HostTable, decode_host, encode_host
from baobablane.deployment import Instance, InstanceState

UP, DOWN, MOVING = InstanceState.UP, InstanceState.DOWN, InstanceState.MOVING


def row(state=UP, upstream="u1", pool="pool"):
    """Return the row of instance `m1` in the list."""
    return Instance("m1", pool, state, "zone", frozenset(), None, upstream)


def make_table(**fields):
    """Return a table in which `u1` was listed on `m1` at time 1,000."""
    return HostTable({"m1": Host("u1", "pool", 1_000, **fields)})


class TestCrashes:
    """Test an instance whose upstream has another id than before."""

    def apply(self, table, *rows, ordered_ms=0, draining=()):
        """Apply one list for each row, and return the last changes."""
        ordered = {"m1": ordered_ms} if ordered_ms else {}
        for instance in rows:
            changes = table.apply([instance], ordered, draining, 5_000)
        return changes

    def test_successor_in_the_same_pool_shows_a_crash(self):
        changes = self.apply(make_table(), row(DOWN, ""), row(UP, "u2"))
        assert changes.crashed == {"u1": "m1"}

    def test_instance_that_is_down_is_no_crash_yet(self):
        changes = self.apply(make_table(), row(DOWN, ""))
        assert (changes.crashed, changes.down) == ({}, {"u1"})

    def test_successor_in_another_pool_is_no_crash(self):
        changes = self.apply(make_table(), row(UP, "u2", "other"))
        assert (changes.crashed, changes.ended) == ({}, {"u1"})

    def test_moving_instance_is_no_crash(self):
        changes = self.apply(make_table(), row(MOVING, ""))
        assert (changes.crashed, changes.ended) == ({}, {"u1"})

    def test_successor_after_an_order_is_no_crash(self):
        changes = self.apply(make_table(), row(UP, "u2"), ordered_ms=2_000)
        assert (changes.crashed, changes.ended) == ({}, {"u1"})

    def test_order_that_brought_the_upstream_does_not_explain_its_end(self):
        changes = self.apply(make_table(), row(UP, "u2"), ordered_ms=500)
        assert changes.crashed == {"u1": "m1"}

    def test_successor_of_a_draining_upstream_is_no_crash(self):
        table = make_table()
        self.apply(table, row(), draining={"u1"})
        changes = self.apply(table, row(DOWN, ""), row(UP, "u2"))
        assert (changes.crashed, changes.down, changes.ended) == ({}, set(), {"u1"})

    def test_draining_is_recorded_for_the_next_owner(self):
        table = make_table()
        self.apply(table, row(), draining={"u1"})
        assert table.pop_unrecorded()["m1"].is_draining

    def test_unchanged_upstream_is_up(self):
        changes = self.apply(make_table(), row())
        assert (changes.up, changes.crashed, changes.ended) == ({"u1"}, {}, set())

    def test_first_upstream_of_an_instance_is_recorded_once(self):
        table = HostTable({})
        self.apply(table, row(), row())
        assert table.pop_unrecorded() == {"m1": Host("u1", "pool", 5_000)}
        assert table.pop_unrecorded() == {}

    def test_next_owner_sees_a_crash_between_two_lists(self):
        record = encode_host(make_table().host_by_instance["m1"])
        table = HostTable({"m1": decode_host(record)})
        assert self.apply(table, row(UP, "u2")).crashed == {"u1": "m1"}
