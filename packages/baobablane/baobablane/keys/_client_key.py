"""Parse client keys and verify them against digests of their secrets."""

import hashlib
import hmac
from dataclasses import dataclass, field

from ..config import Key

KEY_PREFIX = "bl"
KEY_PART_COUNT = 3


@dataclass(frozen=True, slots=True)
class ClientKey:
    """Hold a key's public identifier and its secret."""

    id: str
    secret: str = field(repr=False)

    def reveal(self) -> str:
        """Return the full key, with its secret, as a client sends it."""
        return f"{KEY_PREFIX}_{self.id}_{self.secret}"


def parse_client_key(text: str) -> ClientKey | None:
    """Return the key in a text of the form `bl_ID_SECRET`, or None if malformed."""
    parts = text.split("_", KEY_PART_COUNT - 1)
    if len(parts) != KEY_PART_COUNT or parts[0] != KEY_PREFIX:
        return None
    return ClientKey(parts[1], parts[2])


def digest_secret(salt: str, secret: str) -> str:
    """Return the salted SHA-256 digest, in hex, that is published for a secret."""
    # Secrets are random 128-bit values, so a slow password hash would add no security.
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def verify_client_key(key: Key, presented: ClientKey) -> bool:
    """Return whether a presented key matches a published key that is not withdrawn.

    The ids are not compared; the caller looks the published key up by its id.
    """
    digest = digest_secret(key.salt, presented.secret)
    is_digest_equal = hmac.compare_digest(digest, key.digest)
    return is_digest_equal and not key.withdrawn
