"""Define the message in which two members state what they have lent."""

import msgspec


class LedgerLine(msgspec.Struct, frozen=True, array_like=True):
    """Hold running totals, which only grow, for one team between two members."""

    team: str
    lent_total: int
    returned_total: int


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """State one member's totals towards another, at a configuration revision."""

    sender: str
    receiver: str
    revision: int
    lines: tuple[LedgerLine, ...]
    wanted_by_team: dict[str, int] = {}
