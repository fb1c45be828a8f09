"""Define a client account."""

from dataclasses import dataclass

from ._resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Hold an account's keys, its weight under full load and its upper limit."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    # Resources that the account may use in all pools together; 0 means no limit.
    cap: Resources = NO_RESOURCES
