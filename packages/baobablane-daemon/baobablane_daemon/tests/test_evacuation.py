"""Test an evacuated zone on the stand-in platform while parts of it fail."""

from baobablane.deployment import PlatformLimits

from .platform_deployment import run_deployment

# The limits on the view of configurations are not under test.
LIMITS = PlatformLimits(
    configuration_seconds=1000.0, key_withdrawal_seconds=1000.0, evacuation_seconds=5.0
)
# All upstreams are in this zone.
KEY = "evacuate/zone-a"


async def wait_for_appends(deployment, count):
    """Wait until the store has received more appends, such as heartbeats."""
    before = deployment.platform.append_count()

    async def has_received():
        return deployment.platform.append_count() >= before + count

    await deployment.wait_for(has_received)


class TestFailures:
    """Test that nothing starts in the zone between its record and the withdrawal."""

    async def test_new_owner_reads_the_evacuation_before_its_first_start(self):
        """Guard against starts of an owner that has read only jobs and progress."""
        async with run_deployment(2, LIMITS) as deployment:
            first, second = deployment.entries
            store = deployment.platform.store
            store.switches.unreadable_topics.add("keyed.op")
            store.put("keyed.op", KEY, b"{}")
            await first.kill()
            assert await deployment.submit(second) == 200
            # The claim, and the record of a start or the next claim.
            await wait_for_appends(deployment, 2)
            store.switches.unreadable_topics.clear()
            await wait_for_appends(deployment, 4)
            assert deployment.starts() == []
            store.put("keyed.op", KEY, b"")
            await deployment.wait_for_state(second, "completed")

    async def test_zone_stays_closed_until_the_withdrawal_is_read(self):
        """Guard against a zone that opens while the store is down."""
        async with run_deployment(1, LIMITS) as deployment:
            (entry,) = deployment.entries
            store = deployment.platform.store
            store.put("keyed.op", KEY, b"{}")
            await wait_for_appends(deployment, 4)
            assert await deployment.submit(entry) == 200
            await wait_for_appends(deployment, 4)
            store.switches.is_down = True
            store.put("keyed.op", KEY, b"")
            await deployment.wait_until_not_ready(entry)
            assert deployment.starts() == []
            store.switches.is_down = False
            await deployment.wait_for_state(entry, "completed")
