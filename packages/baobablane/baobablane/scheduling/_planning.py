"""Decide which tasks start now, and where."""

from dataclasses import dataclass, field

from ..deployment import Resources
from ..jobs import TaskState
from ._full_pools import FullPools
from ._job_run import JobRun
from ._orders import StartOrder
from ._placement import choose_upstream, may_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Run, Upstream
from ._urgency import urgency_key


@dataclass(slots=True)
class _RoundRoom:
    """Hold the upstreams of each pool that take tasks in this round."""

    usable: dict[str, list[Upstream]]
    # Without those that are ejected.
    healthy: dict[str, list[Upstream]]
    full: FullPools = field(default_factory=FullPools)
    # Pools in which an upstream is reserved for a long-running task.
    reserved_pools: set[str] = field(default_factory=set)


def plan_starts(state: SchedulerState, now: float, unix_ms: int) -> list[StartOrder]:
    """Return the starts that fit now, and count their resources as used.

    Each start must be recorded before it is sent.
    """
    usable: dict[str, list[Upstream]] = {}
    healthy: dict[str, list[Upstream]] = {}
    for upstream in state.upstreams.values():
        if upstream.accepts(now):
            pool = upstream.entry.pool
            usable.setdefault(pool, []).append(upstream)
            if not state.ejections.is_ejected(upstream.id, now):
                healthy.setdefault(pool, []).append(upstream)
    orders: list[StartOrder] = []
    room = _RoundRoom(usable, healthy)
    state.advice.clear_pending()
    for job_run in _jobs_by_urgency(state, unix_ms):
        try:
            orders += _plan_job(state, job_run, room, now)
        except Exception as error:
            state.set_apart(job_run.job.id, error)
    return orders


def _plan_job(
    state: SchedulerState, job_run: JobRun, room: _RoundRoom, now: float
) -> list[StartOrder]:
    orders: list[StartOrder] = []
    pool = state.pool_of(job_run)
    usable, healthy = room.usable.get(pool, []), room.healthy.get(pool, [])
    for step_run in list(job_run.startable_steps()):
        if room.full.has_no_room_for(pool, step_run.step):
            continue
        if healthy:
            candidates = _advised_candidates(state, step_run, healthy, now)
            orders += _plan_step(state, step_run, candidates, now)
            if step_run.waiting and state.usage.allows(
                job_run.job.account, step_run.step.needs
            ):
                room.full.record_no_room(pool, step_run.step)
        # Without a healthy upstream, an ejected one is better than none. A long-running
        # task may always use one, because its failed attempts are not limited.
        is_stuck = step_run.step.is_lasting and bool(step_run.waiting)
        if usable and (pool not in room.healthy or is_stuck):
            candidates = _advised_candidates(state, step_run, usable, now)
            orders += _plan_step(state, step_run, candidates, now)
        if is_stuck and step_run.waiting and pool not in room.reserved_pools:
            room.reserved_pools.add(pool)
            _reserve_upstream(step_run, healthy, usable)
    return orders


def _reserve_upstream(
    step_run: StepRun, healthy: list[Upstream], usable: list[Upstream]
) -> None:
    # Small tasks would use up room as soon as it is freed, and a larger long-running
    # task would never start. Reserve an upstream where it fits once the short tasks
    # end.
    fitting = [
        upstream
        for upstream in usable
        if may_run(step_run.step, upstream, _room_without_short_runs(upstream))
    ]
    if not fitting:
        return
    chosen = max(fitting, key=lambda upstream: upstream.room().cpu_millis)
    usable.remove(chosen)
    if chosen in healthy:
        healthy.remove(chosen)


def _room_without_short_runs(upstream: Upstream) -> Resources:
    room = upstream.entry.capacity
    for run in upstream.runs.values():
        if run.is_lasting and not run.is_filler:
            room = room - run.needs
    return room


def _advised_candidates(
    state: SchedulerState, step_run: StepRun, candidates: list[Upstream], now: float
) -> list[Upstream]:
    queue = state.configuration.queues_by_name.get(step_run.job.queue)
    if queue is None or not queue.needs_advice:
        return candidates
    return state.advice.eligible(step_run.key(), candidates, now)


def _jobs_by_urgency(state: SchedulerState, unix_ms: int) -> list[JobRun]:
    keyed = []
    for job_run in list(state.jobs.values()):
        try:
            key = _job_key(state, job_run, unix_ms)
        except Exception as error:
            state.set_apart(job_run.job.id, error)
            continue
        if key is not None:
            keyed.append((key, job_run.job.id, job_run))
    keyed.sort()
    return [job_run for _, _, job_run in keyed]


def _job_key(
    state: SchedulerState, job_run: JobRun, unix_ms: int
) -> tuple[float, float, float, float] | None:
    """Return a job's urgency, or None if no step of it can start."""
    if job_run.state.is_final():
        return None
    job_run.open_due_occurrences(unix_ms)
    if next(job_run.startable_steps(), None) is None:
        return None
    job = job_run.job
    queue = state.configuration.queues_by_name.get(job.queue)
    return urgency_key(
        job_run, queue, unix_ms, state.usage.cores_per_weight(job.account)
    )


def _plan_step(
    state: SchedulerState, step_run: StepRun, candidates: list[Upstream], now: float
) -> list[StartOrder]:
    step = step_run.step
    if step.is_gang and len(step_run.waiting) < step.count:
        return []
    placed: dict[str, int] = {}
    for index in step_run.started_indexes():
        name = step_run.tasks[index].upstream
        placed[name] = placed.get(name, 0) + 1
    chosen: list[tuple[int, Upstream]] = []
    for index in sorted(step_run.waiting):
        upstream = _place_task(state, step_run, index, candidates, placed, now)
        if upstream is None:
            break
        chosen.append((index, upstream))
    if step.is_gang and len(chosen) < step.count:
        for index, upstream in chosen:
            state.remove_run(upstream, step_run.task_id(index))
        return []
    runs = {index: step_run.task(index).run + 1 for index, _ in chosen}
    if step.is_gang:
        # All tasks of a gang have the same run number.
        runs = dict.fromkeys(runs, max(runs.values()))
    return [
        _commit_start(state, step_run, index, runs[index], upstream)
        for index, upstream in chosen
    ]


def _place_task(
    state: SchedulerState,
    step_run: StepRun,
    index: int,
    candidates: list[Upstream],
    placed: dict[str, int],
    now: float,
) -> Upstream | None:
    job, step = step_run.job, step_run.step
    if job.account and not state.usage.allows(job.account, step.needs):
        return None
    task_id = step_run.task_id(index)
    avoided_id = state.last_failed_on.get(task_id, "")
    upstream = choose_upstream(step_run, candidates, placed, avoided_id)
    if upstream is None:
        return None
    placed[upstream.id] = placed.get(upstream.id, 0) + 1
    # The run gets its number in `_commit_start`, once it is certain that a gang fits.
    run = Run(
        task_id,
        0,
        step.needs,
        job.account,
        step.is_lasting,
        step.is_filler,
        now,
        step.estimated_ms / 1000,
        percent_changed_at=now,
        target_ms=step.target_ms,
    )
    state.add_run(run, upstream, now)
    return upstream


def _commit_start(
    state: SchedulerState,
    step_run: StepRun,
    index: int,
    number: int,
    upstream: Upstream,
) -> StartOrder:
    task = step_run.task(index)
    task.state = TaskState.STARTED
    task.run = number
    task.upstream = upstream.id
    task.incarnation = upstream.entry.incarnation
    step_run.waiting.discard(index)
    task_id = step_run.task_id(index)
    upstream.runs[task_id].number = task.run
    state.log_decision("task-placed", task_id, task.run, upstream=upstream.id)
    return StartOrder(
        task_id,
        task.run,
        step_run.job.spec,
        task.checkpoint,
        upstream.id,
        task.incarnation,
        state.advice.ticket(step_run.key(), upstream),
    )
