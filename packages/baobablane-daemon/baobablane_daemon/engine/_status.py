"""Define the status report that an entry instance gives operators."""

import msgspec


class TeamStatus(msgspec.Struct, frozen=True):
    """Report a team's running requests, usable units and limit on this instance."""

    team: str
    running: int
    usable: int
    limit: int


class PoolStatus(msgspec.Struct, frozen=True):
    """Report this entry instance's use of a pool."""

    pool: str
    capacity: int
    running: int
    waiting: int
    budget: float


class ServiceStatus(msgspec.Struct, frozen=True):
    """Report how much of a service's availability budget is left here."""

    service: str
    requests: int
    failures: int
    budget_left: float


class StatusReport(msgspec.Struct, frozen=True):
    """Report the state of one entry instance."""

    instance: str
    incarnation: str
    zone: str
    revision: int
    config_next: int
    membership_next: int
    ready: bool
    view_age_seconds: float
    members: tuple[str, ...]
    in_flight_by_upstream: dict[str, int]
    teams: tuple[TeamStatus, ...]
    pools: tuple[PoolStatus, ...]
    services: tuple[ServiceStatus, ...]
