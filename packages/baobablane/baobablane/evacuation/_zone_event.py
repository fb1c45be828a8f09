"""Define the events of an evacuated zone."""

from enum import StrEnum


class ZoneEvent(StrEnum):
    """Name an event of an evacuated zone as it is logged."""

    # No run is left in the zone.
    EMPTY = "zone-empty"
    # No instance and no upstream is in the zone.
    UNKNOWN = "evacuated-zone-unknown"
