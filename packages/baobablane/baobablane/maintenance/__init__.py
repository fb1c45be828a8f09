"""Re-export the planning and progress of maintenance waves."""

from ._plan import MaintenanceOrder, MaintenancePlan, plan_maintenance
from ._wave_progress import WaveProgress, decode_wave_progress, encode_wave_progress

__all__ = [
    "MaintenanceOrder",
    "MaintenancePlan",
    "WaveProgress",
    "decode_wave_progress",
    "encode_wave_progress",
    "plan_maintenance",
]
