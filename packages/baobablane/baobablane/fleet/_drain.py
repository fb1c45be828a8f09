"""Decide when no entry instance has work running on an upstream."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..membership import MembershipState


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Store how many requests one member still runs on each draining upstream."""

    # Configuration revision that the member had applied when it reported.
    revision: int
    # Monotonic time of the receiver, in seconds.
    received_at: float
    in_flight_by_upstream: Mapping[str, int] = field(default_factory=dict)


def is_drained(
    upstream: str,
    since_revision: int,
    membership: MembershipState,
    reports_by_incarnation: Mapping[str, DrainReport],
    min_received_at: float,
) -> bool:
    """Return whether every member reports that it runs no work on an upstream.

    Members whose slots were reclaimed need not report; any other member under notice
    counts as still running work. A report counts if its member had applied
    `since_revision`, and if it was received no earlier than `min_received_at`.
    """
    for name, member in membership.members_by_incarnation.items():
        if member.reclaimed:
            continue
        if not membership.is_active(name):
            # Its work may run until its leases have expired, and it may not report.
            return False
        report = reports_by_incarnation.get(name)
        if report is None or report.received_at < min_received_at:
            return False
        if report.revision < since_revision:
            return False
        if report.in_flight_by_upstream.get(upstream, 0) > 0:
            return False
    return True
