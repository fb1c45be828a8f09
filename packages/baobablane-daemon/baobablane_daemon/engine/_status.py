"""Define the status report that an entry instance gives operators."""

import msgspec


class TeamStatus(msgspec.Struct, frozen=True):
    """Report a team's running requests and usable units here, and its overall limit.

    A unit permits one running request.
    """

    team: str
    running: int
    usable: int
    limit: int


class PoolStatus(msgspec.Struct, frozen=True):
    """Report a pool's slots, and this entry instance's requests and share of them.

    `capacity` is the pool's number of slots that get work, and `budget` the number
    that this instance may use.
    """

    pool: str
    capacity: int
    running: int
    waiting: int
    budget: float


class ServiceStatus(msgspec.Struct, frozen=True):
    """Report how much of a service's availability budget is left here.

    The counts cover the service's sliding window; `budget_left` is a fraction,
    negative if the budget is overspent.
    """

    service: str
    requests: int
    failures: int
    budget_left: float


class StatusReport(msgspec.Struct, frozen=True):
    """Report the state of one entry instance.

    `config_next` and `membership_next` are the offsets of the next records to read.
    `members` are the IDs of the instances that are active members.
    """

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
