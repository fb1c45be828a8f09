"""Define the entries of a configuration."""

from enum import StrEnum

import msgspec


class QueueClass(StrEnum):
    """List the classes of queues; urgent requests usually start first."""

    URGENT = "urgent"
    NORMAL = "normal"


class PlacementPhase(StrEnum):
    """List the phases of an instance in service, in a move or in maintenance."""

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"


class WavePhase(StrEnum):
    """List the phases of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"


class Instance(msgspec.Struct, frozen=True, tag="instance"):
    """Describe one upstream instance of the asset register."""

    id: str
    host: str
    port: int
    zone: str
    rack: str
    # Pool that the register lists; a placement overrides it.
    pool: str
    # Maximum number of requests that it runs concurrently.
    slots: int
    # Connections that it accepts from all entry instances together.
    connections: int
    cores: float
    memory_gb: float
    accelerators: int = 0


class Team(msgspec.Struct, frozen=True, tag="team"):
    """Hold a team's weight when pools are full and its limit of running requests."""

    name: str
    # Weight in the max-min fair division of each pool.
    share: float
    # Maximum number of requests that run concurrently in the whole fleet.
    limit: int


class Key(msgspec.Struct, frozen=True, tag="key"):
    """Hold the salted digest of a client key's secret; a withdrawal can't be undone."""

    id: str
    team: str
    salt: str
    digest: str
    withdrawn: bool = False


class Pool(msgspec.Struct, frozen=True, tag="pool"):
    """Describe a pool, the teams that may use it, and whether it is marked as spare."""

    name: str
    teams: tuple[str, ...]
    spare: bool = False


class Service(msgspec.Struct, frozen=True, tag="service"):
    """Describe a service's pool and its availability budget."""

    name: str
    pool: str
    # Fraction of requests that must succeed within the window.
    availability: float
    window_seconds: int
    # Ready instances that maintenance must leave in the pool.
    ready_floor: int


class Queue(msgspec.Struct, frozen=True, tag="queue"):
    """Describe a queue of requests for a service."""

    name: str
    service: str
    queue_class: QueueClass
    # Whether requests of every team, and requests without a client key, are accepted.
    open: bool
    # Whether a request may be retried after an unknown outcome.
    idempotent: bool
    # Whether deferred jobs are accepted.
    deferred: bool
    # Longest time from a request's arrival to its deadline.
    deadline_seconds: float
    # Initial estimate of a request's run time.
    run_seconds: float


class Settings(msgspec.Struct, frozen=True, tag="settings"):
    """Hold the settings of the whole deployment."""

    # Maximum number of entry instances that run at the same time.
    entry_instances: int
    # Minimum fraction of a pool's slot time that normal requests receive while any
    # wait.
    urgent_floor: float
    # Time that an instance needs to reboot.
    reboot_seconds: float
    # In a pool with urgent queues, fraction of the slots that long requests of normal
    # queues must leave free.
    urgent_reserve: float = 0.25


class Placement(msgspec.Struct, frozen=True, tag="placement"):
    """Assign an instance to exactly one pool and hold its phase.

    `wave` is the maintenance wave that took it out of service, `next_pool` the pool
    that it moves to after the drain; each is empty if there is none.
    """

    instance: str
    pool: str
    phase: PlacementPhase
    wave: str = ""
    next_pool: str = ""


class Wave(msgspec.Struct, frozen=True, tag="wave"):
    """Describe a maintenance wave and the instances that are still to be maintained."""

    name: str
    phase: WavePhase
    remaining: tuple[str, ...]
    reason: str = ""


Entry = Instance | Team | Key | Pool | Service | Queue | Settings | Placement | Wave

_TYPE_PREFIXES: dict[type, str] = {
    Instance: "instance",
    Team: "team",
    Key: "key",
    Pool: "pool",
    Service: "service",
    Queue: "queue",
    Settings: "settings",
    Placement: "placement",
    Wave: "wave",
}


def entry_key(entry: Entry) -> str:
    """Return the key of an entry, as `type/identifier`."""
    prefix = _TYPE_PREFIXES[type(entry)]
    match entry:
        case Instance() | Key():
            return f"{prefix}/{entry.id}"
        case Placement():
            return f"{prefix}/{entry.instance}"
        case Settings():
            return prefix
        case _:
            return f"{prefix}/{entry.name}"
