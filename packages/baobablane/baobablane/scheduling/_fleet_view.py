"""Provide views of the upstreams for the planning of maintenance and moves."""

from collections.abc import Collection

from ..jobs import Task, TaskId
from ._movable_run import MovableRun
from ._orders import StopOrder
from ._pool_demand import PoolDemand, sum_demand
from ._reconciliation import READY_PERCENT
from ._relocation_room import RelocationRoom
from ._stalls import should_stop
from ._state import SchedulerState
from ._upstream_view import StepKey, UpstreamView


class FleetView:
    """Read the scheduler's state, cordon upstreams and evict long-running tasks."""

    def __init__(self, state: SchedulerState) -> None:
        """Use the scheduler's state, which is shared and not copied."""
        self.state = state

    def demand_by_pool(self, unix_ms: int) -> dict[str, PoolDemand]:
        """Return the demand on each pool that is not on standby."""
        return sum_demand(self.state, unix_ms)

    def empty_upstreams(self) -> set[str]:
        """Return the usable upstreams without runs and without unrecorded ends."""
        return {
            upstream.id
            for upstream in self.state.upstreams.values()
            if upstream.is_usable()
            and not upstream.runs
            and upstream.recorded_end >= upstream.applied_end
        }

    def missing_by_step(self) -> dict[StepKey, int]:
        """Return the number of long-running tasks of each step that are not ready."""
        missing: dict[StepKey, int] = {}
        for job_id, job_run in self.state.jobs.items():
            if job_run.state.is_final():
                continue
            for (_, number), step_run in job_run.steps.items():
                if step_run.step.is_lasting:
                    ready = sum(
                        self._is_ready(step_run.task_id(i), step_run.tasks[i])
                        for i in step_run.started_indexes()
                    )
                    missing[(job_id, number)] = step_run.step.count - ready
        return missing

    def upstream_view(self, upstream_id: str) -> UpstreamView | None:
        """Return a view of an upstream's runs, or None if it is unknown."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return None
        lasting: dict[StepKey, list[StopOrder]] = {}
        allowances: dict[StepKey, int] = {}
        short_runs = 0
        starting = 0
        for run in upstream.runs.values():
            job_run = self.state.jobs.get(run.task.job)
            if job_run is None or job_run.state.is_final():
                continue
            if not run.is_lasting:
                short_runs += 1
                continue
            key = (run.task.job, run.task.step)
            allowances[key] = job_run.job.steps[run.task.step].may_miss
            if run.percent >= READY_PERCENT:
                stop = StopOrder(run.task, run.number, upstream_id)
                lasting.setdefault(key, []).append(stop)
            elif allowances[key] and not should_stop(self.state, run):
                starting += 1
        return UpstreamView(
            upstream_id,
            upstream.entry.pool,
            upstream.is_cordoned,
            upstream.is_reachable,
            short_runs,
            lasting,
            starting,
            allowances,
        )

    def runs_by_zone(self, zones: Collection[str]) -> dict[str, int]:
        """Return the number of runs in each of the given zones.

        Runs on an upstream whose zone is unknown may be in any of them.
        """
        runs = dict.fromkeys(zones, 0)
        unplaced = 0
        for upstream in self.state.upstreams.values():
            if not upstream.entry.zone:
                unplaced += len(upstream.runs)
            elif upstream.entry.zone in runs:
                runs[upstream.entry.zone] += len(upstream.runs)
        return {zone: count + unplaced for zone, count in runs.items()}

    def zones(self) -> set[str]:
        """Return the zones of all upstreams."""
        return {upstream.entry.zone for upstream in self.state.upstreams.values()}

    def movable_runs(self, zones: Collection[str]) -> list[MovableRun]:
        """Return the long-running tasks in the given zones that are ready.

        Tasks of a gang are left out: they only start together.
        """
        movable: list[MovableRun] = []
        for upstream in self.state.upstreams.values():
            if upstream.entry.zone not in zones:
                continue
            for run in upstream.runs.values():
                job_run = self.state.jobs.get(run.task.job)
                found = job_run.find_task(run.task) if job_run else None
                if not run.is_lasting or found is None:
                    continue
                step_run, task = found
                if (
                    step_run.step.is_gang
                    or task.run != run.number
                    or not self._is_ready(run.task, task)
                ):
                    continue
                movable.append(
                    MovableRun(
                        StopOrder(run.task, run.number, upstream.id),
                        (run.task.job, run.task.step),
                        step_run.step.may_miss,
                        upstream.is_cordoned,
                    )
                )
        return movable

    def relocation_room(self, now: float) -> RelocationRoom:
        """Return the room outside evacuated zones for tasks that leave an upstream."""
        return RelocationRoom(self.state, now)

    def cordon(self, upstream_ids: set[str]) -> None:
        """Stop new work on the given upstreams, and allow it on all others."""
        for upstream in self.state.upstreams.values():
            upstream.is_cordoned = upstream.id in upstream_ids

    def evict(self, order: StopOrder) -> None:
        """Mark a run to be stopped, so that its task starts elsewhere."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        if upstream is not None and run is not None and run.number == order.run:
            run.is_evicted = True
            upstream.may_need_stops = True
            self.state.log_decision(
                "task-evicted", order.task, order.run, upstream=order.upstream
            )

    def _is_ready(self, task_id: TaskId, task: Task) -> bool:
        upstream = self.state.upstreams.get(task.upstream)
        run = upstream.runs.get(task_id) if upstream else None
        if upstream is None or run is None or not upstream.is_reachable:
            return False
        return run.percent >= READY_PERCENT and not should_stop(self.state, run)
