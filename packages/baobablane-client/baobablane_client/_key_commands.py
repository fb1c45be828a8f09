"""Define the commands on client keys."""

from secrets import token_hex

from baobablane.config import Key
from baobablane.errors import NotFoundError
from baobablane.keys import ClientKey, digest_secret

from ._fleet import Fleet, with_fleet
from ._publish import publish_entries

KEY_ID_BYTES = 6
KEY_SECRET_BYTES = 16
SALT_BYTES = 8
WAIT_SECONDS = 30.0


class KeyCommands:
    """Give and withdraw client keys."""

    def give(self, team: str, log: str = "") -> None:
        """Publish a new key for TEAM and print it; it is shown only this once."""
        made = ClientKey(token_hex(KEY_ID_BYTES), token_hex(KEY_SECRET_BYTES))
        salt = token_hex(SALT_BYTES)
        key = Key(made.id, str(team), salt, digest_secret(salt, made.secret))

        async def act(fleet: Fleet) -> None:
            await fleet.read_config()
            await publish_entries(fleet, [key])

        with_fleet(act, log)
        print(made.reveal())

    def withdraw(self, key: str, wait: bool = True, log: str = "") -> None:
        """Withdraw the key with the identifier KEY for good, and wait until it is."""

        async def act(fleet: Fleet) -> int:
            state = await fleet.read_config()
            held = state.entries_by_key.get(f"key/{key}")
            if held is None or not isinstance(held.entry, Key):
                raise NotFoundError(f"no key {key}")
            entry = held.entry
            gone = Key(entry.id, entry.team, entry.salt, entry.digest, withdrawn=True)
            revision = await publish_entries(fleet, [gone])
            if wait:
                await fleet.wait_in_force(revision, WAIT_SECONDS)
            return revision

        print(f"withdrawn at revision {with_fleet(act, log)}")
