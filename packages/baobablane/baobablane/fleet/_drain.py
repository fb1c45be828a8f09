"""Decide when nothing of any entry instance runs on an upstream."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..membership import MembershipState


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Hold what one member says of upstreams that get nothing new."""

    revision: int
    received_at: float
    in_flight_by_upstream: Mapping[str, int] = field(default_factory=dict)


def is_drained(
    upstream: str,
    since_revision: int,
    membership: MembershipState,
    reports_by_incarnation: Mapping[str, DrainReport],
    min_received_at: float,
) -> bool:
    """Return whether every member that may still have work there reports none."""
    for name, member in membership.members_by_incarnation.items():
        if member.reclaimed:
            continue
        if not membership.is_active(name):
            # What it started may run until its leases have lapsed.
            return False
        report = reports_by_incarnation.get(name)
        if report is None or report.received_at < min_received_at:
            return False
        if report.revision < since_revision:
            return False
        if report.in_flight_by_upstream.get(upstream, 0) > 0:
            return False
    return True
