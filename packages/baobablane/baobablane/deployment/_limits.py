"""Define the limits that the platform sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Hold limits set by the platform, in seconds unless the name says otherwise."""

    # Maximum duration of a lease that an upstream grants.
    max_lease_seconds: float = 10.0
    # Maximum time from a key's withdrawal until every process rejects the key.
    key_withdrawal_seconds: float = 5.0
    # Maximum time from a configuration's confirmation until it is in force everywhere.
    configuration_seconds: float = 2.0
    # Minimum time between orders for one instance by two different owners.
    order_lease_seconds: float = 3.0
    # Maximum time that a process may take to stop after it is terminated.
    stop_grace_seconds: float = 6.0
    # Time for which a finished job's state must remain available.
    state_retention_seconds: float = 120.0
    # Factor by which a task runs slower away from its data, or if its step's tasks are
    # split across racks.
    remote_factor: float = 2.0
    # Maximum time for which other tasks may keep a serving task above its target
    # latency.
    interference_seconds: float = 4.0
    # Maximum size of one record of the store in bytes, with its key.
    max_record_bytes: int = 262_144
    # Maximum time from the confirmation of a zone's evacuation until nothing starts in
    # that zone any more; None where evacuation is not offered.
    evacuation_seconds: float | None = None
