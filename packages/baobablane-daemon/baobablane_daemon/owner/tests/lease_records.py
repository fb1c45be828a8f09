"""Make what an owner records of leases, for tests of its other records and orders."""

from baobablane.scheduling import Scheduler, SchedulingPolicy

from baobablane_daemon.jobs import boot_seconds
from baobablane_daemon.owner._lease_record import LeaseRecord


def make_lease_record(scheduler=None):
    """Return the record of an owner that may grant leases on all upstreams."""
    scheduler = scheduler or Scheduler(SchedulingPolicy())
    return LeaseRecord(scheduler, 1, {}, lambda now: 0.0, boot_seconds())
