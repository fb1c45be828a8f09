"""Re-export the planning of maintenance waves."""

from ._plan import UpkeepOrder, UpkeepPlan, plan_upkeep
from ._wave_progress import WaveProgress, decode_wave_progress, encode_wave_progress

__all__ = [
    "UpkeepOrder",
    "UpkeepPlan",
    "WaveProgress",
    "decode_wave_progress",
    "encode_wave_progress",
    "plan_upkeep",
]
