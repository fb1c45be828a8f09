"""Re-export the division of pools among teams by fair shares."""

from ._arrival_meter import BURST_ALLOWANCE_SECONDS, ArrivalMeter
from ._decayed_usage import DecayedUsage
from ._demand import DemandLine
from ._demand_table import DemandTable
from ._fair_clock import FairClock
from ._max_min import weighted_max_min
from ._pool_division import PoolDivision, divide_pool
from ._pool_shares import PoolShares, compute_pool_shares

__all__ = [
    "BURST_ALLOWANCE_SECONDS",
    "ArrivalMeter",
    "DecayedUsage",
    "DemandLine",
    "DemandTable",
    "FairClock",
    "PoolDivision",
    "PoolShares",
    "compute_pool_shares",
    "divide_pool",
    "weighted_max_min",
]
