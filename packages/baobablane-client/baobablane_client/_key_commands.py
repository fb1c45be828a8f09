"""Define the commands for client keys."""

from secrets import token_hex

from baobablane.config import Key
from baobablane.errors import NotFoundError
from baobablane.keys import ClientKey, digest_secret

from ._fleet_client import FleetClient, run_with_fleet
from ._publish import publish_entries

KEY_ID_BYTES = 6
KEY_SECRET_BYTES = 16
SALT_BYTES = 8
WITHDRAW_WAIT_SECONDS = 30.0


class KeyCommands:
    """Create and withdraw client keys."""

    def give(self, team: str, log: str = "") -> None:
        """Publish a new key for TEAM and print it; it is shown only this once."""
        client_key = ClientKey(token_hex(KEY_ID_BYTES), token_hex(KEY_SECRET_BYTES))
        salt = token_hex(SALT_BYTES)
        key = Key(
            client_key.id, str(team), salt, digest_secret(salt, client_key.secret)
        )

        async def action(fleet: FleetClient) -> None:
            await fleet.read_config()
            await publish_entries(fleet, [key])

        run_with_fleet(action, log)
        print(client_key.reveal())

    def withdraw(self, key: str, wait: bool = True, log: str = "") -> None:
        """Withdraw the key with the identifier KEY permanently.

        Unless --nowait is given, wait until the withdrawal is in force.
        """

        async def action(fleet: FleetClient) -> int:
            state = await fleet.read_config()
            stored = state.entries_by_key.get(f"key/{key}")
            if stored is None or not isinstance(stored.entry, Key):
                raise NotFoundError(f"no key {key}")
            entry = stored.entry
            withdrawn_key = Key(
                entry.id, entry.team, entry.salt, entry.digest, withdrawn=True
            )
            revision = await publish_entries(fleet, [withdrawn_key])
            if wait:
                await fleet.wait_in_force(revision, WITHDRAW_WAIT_SECONDS)
            return revision

        print(f"withdrawn at revision {run_with_fleet(action, log)}")
