"""Make and check client keys without ever keeping their secrets."""

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
        """Return the key as a client sends it."""
        return f"{KEY_PREFIX}_{self.id}_{self.secret}"


def parse_client_key(text: str) -> ClientKey | None:
    """Return the key that a client sent, or None where it is malformed."""
    parts = text.split("_", KEY_PART_COUNT - 1)
    if len(parts) != KEY_PART_COUNT or parts[0] != KEY_PREFIX:
        return None
    return ClientKey(parts[1], parts[2])


def digest_secret(salt: str, secret: str) -> str:
    """Return the salted digest that is published instead of a secret."""
    # Secrets are random 128-bit values, so a slow password hash adds nothing.
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def verify_client_key(key: Key, presented: ClientKey) -> bool:
    """Return whether a presented key is the published one and not withdrawn."""
    digest = digest_secret(key.salt, presented.secret)
    is_digest_equal = hmac.compare_digest(digest, key.digest)
    return is_digest_equal and not key.withdrawn
