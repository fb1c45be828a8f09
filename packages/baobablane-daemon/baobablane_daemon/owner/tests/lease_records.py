"""Make what an owner records of leases, for tests of its other records and orders."""

from baobablane.scheduling import Scheduler, SchedulingPolicy

from baobablane_daemon.owner._lease_record import LeaseRecord


def make_lease_record(scheduler=None):
    """Return the record of an owner that may grant leases on all upstreams."""
    scheduler = scheduler or Scheduler(SchedulingPolicy())
    record = LeaseRecord(scheduler, 1, {}, lambda now: None)
    record.complete()
    record.make_bounds(0.0, False)
    record.note_stored()
    return record
