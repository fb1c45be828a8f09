"""Tell once when an evacuated zone is empty, and when it is unknown.

Load pattern: operators wait for the last run of a zone to end, while reports of
hundreds of upstreams arrive each second.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ._zone_event import ZoneEvent


@dataclass(slots=True)
class ZoneWatch:
    """Hold the latest event of each evacuated zone."""

    _event_by_zone: dict[str, ZoneEvent] = field(default_factory=dict)

    def observe(
        self, runs_by_zone: Mapping[str, int], known_zones: Collection[str]
    ) -> list[tuple[str, ZoneEvent]]:
        """Return the new events, given the number of runs in each evacuated zone.

        A zone is empty once more after a late start arrived there and ended.
        """
        events: list[tuple[str, ZoneEvent]] = []
        for zone in self._event_by_zone.keys() - runs_by_zone.keys():
            del self._event_by_zone[zone]
        for zone, runs in sorted(runs_by_zone.items()):
            if zone not in known_zones:
                event = ZoneEvent.UNKNOWN
            elif runs:
                self._event_by_zone.pop(zone, None)
                continue
            else:
                event = ZoneEvent.EMPTY
            if self._event_by_zone.get(zone) is not event:
                self._event_by_zone[zone] = event
                events.append((zone, event))
        return events
