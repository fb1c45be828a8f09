"""Publish entries in the name of the current user."""

import getpass
import os

from baobablane.config import Change, Entry, entry_key

from ._fleet_client import FleetClient, new_change_id


def current_author() -> str:
    """Return the user name that is recorded as the author of a change."""
    return os.environ.get("USER") or getpass.getuser()


async def publish_entries(fleet: FleetClient, entries: list[Entry]) -> int:
    """Publish entries and return the revision of the change.

    The change is rejected if one of the entries has changed since the configuration
    was last read.
    """
    state = fleet.config_state
    expects = {
        entry_key(entry): state.revision_of(entry_key(entry)) for entry in entries
    }
    change = Change(new_change_id(), current_author(), expects, tuple(entries))
    return (await fleet.publish(change)).offset
