"""Find room for long-running tasks that are to leave their upstreams.

Load pattern: the long-running tasks of a zone move while short tasks fill the other
zones. Each must have room for itself, next to those that already wait for it.
"""

from ..deployment import NO_RESOURCES, Resources
from ..jobs import TaskId
from ._placement import may_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Upstream


class RelocationRoom:
    """Reserve room for moving tasks on the upstreams that take starts."""

    def __init__(self, state: SchedulerState, now: float) -> None:
        """Reserve the room of the long-running tasks that wait or are being stopped."""
        self._state = state
        self._upstreams_by_pool: dict[str, list[Upstream]] = {}
        self._taken: dict[str, Resources] = {}
        # Number of tasks of each step with reserved room on an upstream.
        self._reserved: dict[tuple[tuple[str, int, int], str], int] = {}
        for upstream in state.upstreams.values():
            if (
                upstream.accepts(now)
                and not upstream.is_reserved
                and not state.is_evacuated(upstream)
                and not state.ejections.is_ejected(upstream.id, now)
            ):
                pool = upstream.entry.pool
                self._upstreams_by_pool.setdefault(pool, []).append(upstream)
        self._reserve_for_waiting()

    def take(self, task: TaskId) -> bool:
        """Reserve room for a task, or return False if it fits nowhere."""
        job_run = self._state.jobs.get(task.job)
        found = job_run.find_task(task) if job_run else None
        if job_run is None or found is None:
            return False
        step_run = found[0]
        placed = step_run.placed_by_upstream()
        fitting = [
            upstream
            for upstream in self._upstreams_by_pool.get(
                self._state.pool_of(job_run), []
            )
            if self._has_room(step_run, upstream, placed.get(upstream.id, 0))
        ]
        if self._state.needs_advice(step_run):
            fitting = self._state.advice.known_allowed(step_run.key(), fitting)
        if not fitting:
            return False
        # The fullest one, so that the largest free rooms remain for larger tasks.
        chosen = min(fitting, key=lambda u: self._room(u).cpu_millis)
        needs = step_run.step.needs
        if step_run.step.is_filler:
            needs = Resources(0, needs.memory_mb, needs.gpus)
        self._taken[chosen.id] = self._taken.get(chosen.id, NO_RESOURCES) + needs
        key = (step_run.key(), chosen.id)
        self._reserved[key] = self._reserved.get(key, 0) + 1
        return True

    def _reserve_for_waiting(self) -> None:
        for job_run in self._state.jobs.values():
            if job_run.state.is_final():
                continue
            for step_run in job_run.startable_steps():
                if step_run.step.is_lasting:
                    for index in step_run.waiting:
                        self.take(step_run.task_id(index))
        for upstream in self._state.upstreams.values():
            for run in upstream.runs.values():
                if run.is_lasting and run.is_evicted:
                    self.take(run.task)

    def _has_room(self, step_run: StepRun, upstream: Upstream, placed: int) -> bool:
        step = step_run.step
        placed += self._reserved.get((step_run.key(), upstream.id), 0)
        if 0 < step.most_per_upstream <= placed:
            return False
        return may_run(step, upstream, self._room(upstream))

    def _room(self, upstream: Upstream) -> Resources:
        return upstream.room() - self._taken.get(upstream.id, NO_RESOURCES)
