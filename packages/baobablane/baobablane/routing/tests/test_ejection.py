"""Test for how long upstreams are ejected that fail more than their peers."""

import pytest

from baobablane.routing import EjectionPolicy, EjectionTable

UPSTREAMS = ("u0", "u1", "u2", "u3")
POLICY = EjectionPolicy()


@pytest.fixture
def table():
    """Return a table in which one upstream was just ejected, at 0 s."""
    table = EjectionTable(POLICY)
    while not table.record_failure("u0", UPSTREAMS, 0.0):
        pass
    return table


class TestResultsFromBefore:
    """Test results of what was sent before the ejection.

    A report lists many ends at once. Each failed one ejected the upstream again, for
    twice as long, so that one job that fails by its own fault closed it for a minute.
    """

    def test_further_failures_do_not_eject_again(self, table):
        """Guards against an ejection of a minute for the failures of one moment."""
        results = [table.record_failure("u0", UPSTREAMS, 0.01) for _ in range(30)]
        assert not any(results)
        assert table.is_ejected("u0", POLICY.first_ejection_seconds - 0.1)
        assert not table.is_ejected("u0", POLICY.first_ejection_seconds + 0.1)

    def test_they_do_not_delay_what_only_this_upstream_can_do(self, table):
        """Guards against a last resort that each late end puts off."""
        table.record_failure("u0", UPSTREAMS, POLICY.first_ejection_seconds - 0.1)
        assert table.may_retry("u0", POLICY.first_ejection_seconds + 0.1)


class TestProbe:
    """Test failures of what was sent after the ejection."""

    def test_failed_probe_ejects_for_twice_as_long(self, table):
        now = POLICY.first_ejection_seconds + 0.1
        table.record_sent("u0", now)
        assert table.record_failure("u0", UPSTREAMS, now + 0.1)
        assert table.is_ejected("u0", now + 2 * POLICY.first_ejection_seconds)
        assert not table.is_ejected("u0", now + 2 * POLICY.first_ejection_seconds + 0.2)

    def test_failures_after_the_ejection_eject_again(self, table):
        """Guards against an upstream that fails for good and is held for sound."""
        now = POLICY.first_ejection_seconds + 0.1
        table.record_inconclusive("u0")
        results = [table.record_failure("u0", UPSTREAMS, now) for _ in range(6)]
        assert any(results)
