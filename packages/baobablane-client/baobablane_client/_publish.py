"""Publish entries on behalf of the person at the command line."""

import getpass
import os

from baobablane.config import Change, Entry, entry_key

from ._fleet_client import FleetClient, new_change_id


def current_author() -> str:
    """Return the name of the person at the command line."""
    return os.environ.get("USER") or getpass.getuser()


async def publish_entries(fleet: FleetClient, entries: list[Entry]) -> int:
    """Publish entries on the configuration last read; return the revision."""
    state = fleet.config_state
    expects = {
        entry_key(entry): state.revision_of(entry_key(entry)) for entry in entries
    }
    change = Change(new_change_id(), current_author(), expects, tuple(entries))
    return (await fleet.publish(change)).offset
