"""Encode and decode the records of cancellations."""

import msgspec


class _CancellationRecord(msgspec.Struct):
    account: str = ""


# Earlier builds wrote the number 1.
_decoder = msgspec.json.Decoder(_CancellationRecord | int)


def encode_cancellation(account: str) -> bytes:
    """Return the record of a cancellation that a client account has asked for."""
    return msgspec.json.encode(_CancellationRecord(account))


def decode_cancellation(record: bytes) -> str:
    """Return the account of a record, empty if it names none.

    A record that can't be read cancels the job all the same.
    """
    try:
        decoded = _decoder.decode(record)
    except msgspec.DecodeError:
        return ""
    return "" if isinstance(decoded, int) else decoded.account
