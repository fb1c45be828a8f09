"""Describe how instances exchange the owner's direct messages."""

from typing import Protocol

from baobablane.succession import OwnerContact

from ..decision_log import DecisionLog
from ._owner_message import OwnerMessage


class OwnerLink(Protocol):
    """Send messages while this instance owns, and watch others that do."""

    @property
    def is_open(self) -> bool:
        """Return whether others can watch this instance."""

    async def send(self, message: OwnerMessage) -> None:
        """Send a message to those that watch this instance."""

    async def watch(self, address: str, contact: OwnerContact) -> None:
        """Note the messages and the connection of an owner until cancelled."""

    def close(self) -> None:
        """End all connections."""


def open_link(address: str, log: DecisionLog) -> OwnerLink:
    """Listen on an address of the form `host:port`."""
    from ._direct_link import DirectLink

    return DirectLink(address, log)
