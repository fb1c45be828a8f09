"""Define the message that reports the loans between two members."""

import msgspec


class LedgerLine(msgspec.Struct, frozen=True, array_like=True):
    """Store the units of one team lent and returned, as totals that only grow."""

    team: str
    lent_total: int
    returned_total: int


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """Report what one member has lent, returned and wants of another.

    `revision` is the configuration revision that the sender has applied.
    """

    sender: str
    receiver: str
    revision: int
    lines: tuple[LedgerLine, ...]
    wanted_by_team: dict[str, int] = {}
