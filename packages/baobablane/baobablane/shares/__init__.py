"""Re-export the division of pools among teams by fair shares."""

from ._decayed_usage import DecayedUsage
from ._demand import DemandLine
from ._demand_table import DemandTable
from ._fair_clock import FairClock
from ._max_min import weighted_max_min
from ._pool_shares import PoolShares, compute_pool_shares

__all__ = [
    "DecayedUsage",
    "DemandLine",
    "DemandTable",
    "FairClock",
    "PoolShares",
    "compute_pool_shares",
    "weighted_max_min",
]
