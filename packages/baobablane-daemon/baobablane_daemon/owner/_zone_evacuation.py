"""Move the long-running tasks of evacuated zones, and report when a zone is empty."""

from collections.abc import Collection

from baobablane.evacuation import ZoneWatch, plan_evictions
from baobablane.scheduling import Scheduler

from ..decision_log import DecisionLog
from ..jobs import Views


class ZoneEvacuation:
    """Carry out one owner's part in the evacuation of zones."""

    def __init__(self, views: Views, scheduler: Scheduler, log: DecisionLog) -> None:
        """Start without known zones."""
        self._views = views
        self._scheduler = scheduler
        self._log = log
        self._watch = ZoneWatch()

    def run_round(
        self,
        instance_zones: Collection[str],
        ending_upstreams: Collection[str],
        now: float,
    ) -> None:
        """Evict the tasks that may move now, and log and count what is left.

        `ending_upstreams` end by maintenance orders of this round.
        """
        zones = self._views.evacuated_zones
        for eviction in plan_evictions(
            zones, self._scheduler.fleet, ending_upstreams, now
        ):
            self._scheduler.fleet.evict(eviction)
        runs_by_zone = self._scheduler.fleet.runs_by_zone(zones)
        known_zones = self._scheduler.fleet.zones().union(instance_zones)
        for zone, event in self._watch.observe(runs_by_zone, known_zones):
            self._log.info(event.value, zone=zone)
        # An unknown zone has no effect, so it is not counted either.
        self._log.metrics.set_evacuating_runs(
            {zone: runs_by_zone[zone] for zone in zones & known_zones}
        )
