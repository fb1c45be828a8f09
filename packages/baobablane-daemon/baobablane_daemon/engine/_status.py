"""Define what an entry instance tells operators about itself."""

import msgspec


class TeamStatus(msgspec.Struct, frozen=True):
    """Hold a team's running work here against what it may use here."""

    team: str
    running: int
    usable: int
    limit: int


class PoolStatus(msgspec.Struct, frozen=True):
    """Hold a pool's use by this entry instance."""

    pool: str
    capacity: int
    running: int
    waiting: int
    budget: float


class ServiceStatus(msgspec.Struct, frozen=True):
    """Hold what is left of a service's availability budget here."""

    service: str
    requests: int
    failures: int
    budget_left: float


class StatusReport(msgspec.Struct, frozen=True):
    """Hold the state of one entry instance."""

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
