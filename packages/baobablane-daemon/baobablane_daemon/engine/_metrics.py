"""Export an engine's state as metrics."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from typing import TYPE_CHECKING

from baobablane.config import PlacementPhase
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from ._engine import Engine

Family = GaugeMetricFamily | CounterMetricFamily


class EngineCollector(Collector):
    """Collect metrics from an engine's state on each scrape."""

    def __init__(self, engine: "Engine") -> None:
        """Collect from one engine."""
        self._engine = engine

    def collect(self) -> Iterator[Family]:
        """Yield all metrics."""
        yield from self._collect_state()
        yield from self._collect_services()
        yield from self._collect_teams()
        yield from self._collect_pools()
        yield from self._collect_traffic()

    def _collect_traffic(self) -> Iterator[Family]:
        for name, total in asdict(self._engine.read_traffic()).items():
            text = f"Total of {name.replace('_', ' ')}"
            family = CounterMetricFamily(f"baobablane_{name}", text)
            family.add_metric([], total)
            yield family

    def _collect_state(self) -> Iterator[Family]:
        engine = self._engine
        revision = GaugeMetricFamily(
            "baobablane_config_revision", "Revision of the configuration in force"
        )
        revision.add_metric([], engine.view.revision)
        yield revision
        view_age = GaugeMetricFamily(
            "baobablane_view_age_seconds", "Time since the view was confirmed"
        )
        view_age.add_metric([], engine.now() - engine.cluster.view_lease.confirmed_at)
        yield view_age
        ejected = GaugeMetricFamily(
            "baobablane_upstreams_ejected", "Upstreams that fail more than their peers"
        )
        ejected.add_metric([], len(engine.dispatcher.ejected(engine.now())))
        yield ejected
        out_of_service = GaugeMetricFamily(
            "baobablane_instances_out",
            "Instances that get nothing new, by phase",
            labels=["phase"],
        )
        placements = engine.view.placements_by_instance.values()
        phases = Counter(placement.phase.value for placement in placements)
        for phase in (PlacementPhase.DRAINING, PlacementPhase.REBOOTING):
            out_of_service.add_metric([phase.value], phases[phase.value])
        yield out_of_service
        results = CounterMetricFamily(
            "baobablane_results", "Final answers by result code", labels=["code"]
        )
        for code, count in sorted(engine.results_by_code.items()):
            results.add_metric([str(code)], count)
        yield results

    def _collect_services(self) -> Iterator[Family]:
        budget_left = GaugeMetricFamily(
            "baobablane_availability_budget_left_ratio",
            "Part of a service's availability budget that is left",
            labels=["service"],
        )
        for name, budget in sorted(self._engine.budgets.items()):
            budget_left.add_metric([name], budget.fraction_left(self._engine.now()))
        yield budget_left

    def _collect_teams(self) -> Iterator[Family]:
        running = GaugeMetricFamily(
            "baobablane_team_running", "Requests of a team running", labels=["team"]
        )
        usable = GaugeMetricFamily(
            "baobablane_team_usable", "Units of a team's limit held", labels=["team"]
        )
        for name in sorted(self._engine.view.teams_by_name):
            running.add_metric([name], self._engine.cluster.escrow.running[name])
            usable.add_metric([name], self._engine.cluster.escrow.usable(name))
        yield running
        yield usable

    def _collect_pools(self) -> Iterator[Family]:
        waiting = GaugeMetricFamily(
            "baobablane_pool_waiting", "Requests that wait for a pool", labels=["pool"]
        )
        running = GaugeMetricFamily(
            "baobablane_pool_running", "Requests that run on a pool", labels=["pool"]
        )
        capacity = GaugeMetricFamily(
            "baobablane_pool_slots", "Slots of a pool that get work", labels=["pool"]
        )
        for name, pool in sorted(self._engine.dispatcher.pools.items()):
            capacity.add_metric([name], pool.capacity)
            waiting.add_metric([name], len(pool.backlog))
            running.add_metric([name], pool.running)
        yield capacity
        yield waiting
        yield running
