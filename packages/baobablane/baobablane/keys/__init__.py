"""Re-export the creation and verification of client keys."""

from ._client_key import ClientKey, digest_secret, parse_client_key, verify_client_key

__all__ = [
    "ClientKey",
    "digest_secret",
    "parse_client_key",
    "verify_client_key",
]
