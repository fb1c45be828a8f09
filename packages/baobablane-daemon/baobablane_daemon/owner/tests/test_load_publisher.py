"""Test when the owner publishes the load, and what the record says."""

from types import SimpleNamespace

import pytest
from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.scheduling.tests.fleet_model import ModelFleet, add, make_job, make_step

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.owner._load_publisher import LoadPublisher


def make_publisher(fleet, epoch=1, instances=()):
    """Return a publisher of the load of a fleet."""
    log = DecisionLog("i")
    return LoadPublisher(fleet.scheduler, lambda: instances, None, log, epoch)


@pytest.fixture
def fleet():
    """Return eight cores, of which a job of twelve tasks uses all."""
    fleet = ModelFleet()
    fleet.renew_all()
    add(fleet, make_job(make_step(12), accepted_ms=round(fleet.now * 1000)))
    fleet.place()
    return fleet


def summarize(publisher, fleet):
    """Return the record that is due in a fleet's time, or None."""
    return publisher.summarize(fleet.now, round(fleet.now * 1000))


class TestPublication:
    """Test when a record is due."""

    def test_nothing_is_published_without_a_backlog(self, fleet):
        """Guard against records that every instance reads to no purpose."""
        # Four waiting tasks are a quarter of a second of the pool's cores.
        assert summarize(make_publisher(fleet), fleet) is None

    def test_backlog_is_published_twice_a_second_and_once_at_its_end(self, fleet):
        """Guard against a backlog that stays in force after its end."""
        publisher = make_publisher(fleet)
        job = make_job(make_step(40), name="1" * 16)
        add(fleet, job)
        fleet.place()
        records = [summarize(publisher, fleet) for _ in range(4)]
        assert [bool(record) for record in records] == [True, False, True, False]
        assert records[2].version > records[0].version
        fleet.scheduler.cancel_job(job.id)
        assert summarize(publisher, fleet).pools_by_name == {}
        assert summarize(publisher, fleet) is None

    def test_new_owner_has_higher_versions_at_its_first_round(self, fleet):
        """Guard against entry instances that keep the record of a lost owner."""
        add(fleet, make_job(make_step(40), name="1" * 16))
        fleet.place()
        earlier = summarize(make_publisher(fleet, epoch=1), fleet)
        assert summarize(make_publisher(fleet, epoch=2), fleet).version > (
            earlier.version
        )


class TestSummary:
    """Test the published amounts."""

    def test_work_is_summed_by_account_and_lateness(self, fleet):
        """Guard against predictions from wrong sums."""
        now_ms = round(fleet.now * 1000)
        # The objective is 1.4 s, and results are of use for 4.2 s.
        for number, age_ms in enumerate((0, 2_000, 9_000), 1):
            job = make_job(
                make_step(40), name=f"{number:016x}", accepted_ms=now_ms - age_ms
            )
            add(fleet, job)
        fleet.plan_starts()
        moving = Instance(
            "m", "pool", InstanceState.MOVING, "z", frozenset(), Resources(4_000), ""
        )
        summary = summarize(make_publisher(fleet, instances=[moving]), fleet)
        load = summary.pools_by_name["pool"]
        (row,) = load.accounts
        assert (row.account, row.jobs, row.in_time, row.late) == ("a", 3, 22.0, 20.0)
        assert (load.waiting, load.cores, load.arriving_cores) == (62.0, 8.0, 4.0)
        assert (load.free_cores, load.drain_rate) == (0.0, 8.0)

    def test_measured_rate_replaces_the_cores(self, fleet):
        """Guard against predictions that trust wrong declared times."""
        publisher = make_publisher(fleet)
        add(fleet, make_job(make_step(200), name="1" * 16))
        for _ in range(12):
            # All eight tasks end after half of their declared time.
            fleet.now += 0.25
            for model in fleet.upstreams.values():
                for task in list(model.running):
                    fleet.finish(task)
            before = fleet.now
            fleet.renew_all()
            fleet.place()
            fleet.now = before
            publisher.summarize(fleet.now, round(fleet.now * 1000))
        load = publisher.summarize(fleet.now, 0) or publisher.summarize(fleet.now, 0)
        assert load.pools_by_name["pool"].drain_rate == pytest.approx(16.0, rel=0.1)


class TestErrors:
    """Test what an error of the summary ends."""

    async def test_error_does_not_end_the_owner(self, fleet, monkeypatch):
        """Guard against an owner that is lost because of its load record."""
        publisher = make_publisher(fleet)
        errors = []
        publisher._log = SimpleNamespace(
            error=lambda event, error: errors.append(event)
        )

        def fail(*args):
            raise ZeroDivisionError

        async def stop(seconds):
            raise EOFError

        monkeypatch.setattr(publisher, "summarize", fail)
        monkeypatch.setattr("asyncio.sleep", stop)
        with pytest.raises(EOFError):
            await publisher.run()
        assert errors == ["load-unpublished"]
