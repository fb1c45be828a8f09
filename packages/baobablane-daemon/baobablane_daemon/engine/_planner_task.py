"""Plan placement changes and maintenance waves on one entry instance at a time."""

import asyncio
from secrets import token_hex

from baobablane.config import Change, Placement, encode_record
from baobablane.fleet import (
    DrainReport,
    FleetObservations,
    PlannedStep,
    is_drained,
    plan_steps,
)
from baobablane_platform import CONFIG_STREAM

from ..decision_log import Decision
from ._engine import Engine

PLAN_INTERVAL_SECONDS = 1.0
MAX_REPORT_AGE_SECONDS = 2.0


class PlannerTask:
    """Track how long each placement has been in its phase, and plan next steps."""

    def __init__(self, engine: Engine) -> None:
        """Plan from an engine's state."""
        self._engine = engine
        self._phase_starts: dict[str, tuple[int, float]] = {}

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            engine = self._engine
            self._track_phases()
            # Plans only on a confirmed view, so that no phase or wave advances during a
            # log outage.
            may_plan = engine.may_run_team_work() and not engine.is_stopping
            if may_plan and engine.cluster.is_coordinator(engine.now()):
                self._plan()

    def _plan(self) -> None:
        engine = self._engine
        for step in plan_steps(
            engine.config.state, engine.view, self._make_observations()
        ):
            self._publish(step)

    def _make_observations(self) -> FleetObservations:
        engine = self._engine
        now = engine.now()
        return FleetObservations(
            failed=frozenset(
                engine.unavailable_instances | engine.dispatcher.ejected(now)
            ),
            is_drained=self._is_drained,
            seconds_in_phase=self._seconds_in_phase,
            budget_left_by_service={
                name: budget.fraction_left(now)
                for name, budget in engine.budgets.items()
            },
            demand_by_pool=engine.demand_by_pool(),
        )

    def _is_drained(self, upstream: str, revision: int) -> bool:
        engine = self._engine
        now = engine.now()
        own_report = DrainReport(engine.view.revision, now, engine.draining_in_flight())
        reports = {**engine.peers.drain_reports, engine.incarnation: own_report}
        oldest = now - MAX_REPORT_AGE_SECONDS
        return is_drained(upstream, revision, engine.cluster.state, reports, oldest)

    def _track_phases(self) -> None:
        engine = self._engine
        for name in engine.view.placements_by_instance:
            revision = engine.config.state.revision_of(f"placement/{name}")
            if self._phase_starts.get(name, (-1, 0.0))[0] != revision:
                self._phase_starts[name] = (revision, engine.now())

    def _seconds_in_phase(self, upstream: str) -> float:
        phase_start = self._phase_starts.get(upstream)
        return 0.0 if phase_start is None else self._engine.now() - phase_start[1]

    def _publish(self, step: PlannedStep) -> None:
        engine = self._engine
        change = Change(
            f"{engine.incarnation}.{token_hex(6)}",
            engine.incarnation,
            step.expects,
            (step.entry,),
        )
        engine.write(CONFIG_STREAM, encode_record(change))
        upstream = step.entry.instance if isinstance(step.entry, Placement) else ""
        decision = Decision("placed", upstream=upstream, reason=step.reason)
        engine.decisions.write(decision)
