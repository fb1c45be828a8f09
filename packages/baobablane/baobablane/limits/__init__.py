"""Re-export the fleet-wide upper limits of teams."""

from ._escrow import Escrow
from ._ledger import Ledger, LedgerLine
from ._units import base_units, units_per_team

__all__ = ["Escrow", "Ledger", "LedgerLine", "base_units", "units_per_team"]
