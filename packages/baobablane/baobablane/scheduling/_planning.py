"""Decide which tasks start now, and where."""

from collections import Counter

from ._job_run import JobRun
from ._last_resort import find_last_resort
from ._lasting_room import reserve_upstream
from ._late_crashes import held_indexes
from ._orders import StartOrder
from ._placement import choose_upstream, without_own_run
from ._pressure import is_pressed, measure_pressure
from ._room_wait import MAX_YOUNG_RUNS, find_permitted, waits_for_room
from ._round_room import RoundRoom, collect_room
from ._size_classes import LARGEST
from ._starting import commit_starts, reserve_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._trials import Candidate, find_candidates, keep_room, plan_trials
from ._upstream import Upstream
from ._urgency import (
    FIRST_RANK,
    IN_TIME_GROUPS,
    UNBEGUN_RANK,
    JobGroup,
    UrgencyKey,
    urgency_key,
)
from ._waits import log_waits

# Load pattern: after a loss of power or a silence of the store, thousands of tasks wait
# and hundreds of upstreams are empty. To plan all starts at once takes longer than the
# owner may go without a heartbeat, and none is sent before. Once a round has so many,
# the less urgent jobs follow in the next one, at once.
MAX_STARTS_PER_ROUND = 200

GROUP_NAMES = [group.name.lower().replace("_", "-") for group in JobGroup]


def plan_starts(state: SchedulerState, now: float, unix_ms: int) -> list[StartOrder]:
    """Return the starts that fit now, and count their resources as used.

    Each start must be recorded before it is sent.
    """
    orders: list[StartOrder] = []
    room = collect_room(state, now)
    keep_room(state, room, now)
    candidates_by_pool: dict[str, list[Candidate]] = {}
    state.advice.clear_pending()
    if state.policy.divides_by_account:
        state.standings.observe(
            state.jobs.values(),
            state.upstreams.values(),
            state.pool_of,
            state.usage,
            now,
            unix_ms,
        )
    state.unix_offset_seconds = unix_ms / 1000 - now
    measure_pressure(state, now, unix_ms)
    state.has_more_starts = False
    for key, job_run in _jobs_by_urgency(state, unix_ms):
        if len(orders) >= MAX_STARTS_PER_ROUND:
            state.has_more_starts = True
            break
        try:
            started = _plan_job(state, job_run, room, candidates_by_pool, now)
        except Exception as error:
            state.set_apart(job_run.job.id, error)
            continue
        _count_job(state, job_run, key, bool(started))
        orders += started
    for pool, candidates in candidates_by_pool.items():
        orders += plan_trials(state, pool, candidates, room, now)
    state.unsent_tasks.clear()
    log_waits(state, now)
    return orders


def _plan_job(
    state: SchedulerState,
    job_run: JobRun,
    room: RoundRoom,
    candidates_by_pool: dict[str, list[Candidate]],
    now: float,
) -> list[StartOrder]:
    orders: list[StartOrder] = []
    for step_run in list(job_run.startable_steps()):
        candidates = find_candidates(state, step_run, now)
        if candidates:
            pool = state.pool_of(job_run)
            candidates_by_pool.setdefault(pool, []).extend(candidates)
        others = step_run.waiting.difference(
            held_indexes(state, step_run, now), *(c.indexes for c in candidates)
        )
        if others:
            orders += _plan_others(state, job_run, step_run, others, room, now)
    return orders


def _plan_others(
    state: SchedulerState,
    job_run: JobRun,
    step_run: StepRun,
    others: set[int],
    room: RoundRoom,
    now: float,
) -> list[StartOrder]:
    orders: list[StartOrder] = []
    pool = state.pool_of(job_run)
    job = job_run.job
    is_beyond = state.standings.is_excess(pool, job.id)
    full = room.full_beyond_shares if is_beyond else room.full
    if full.has_no_room_for(pool, step_run.step):
        if (
            not is_beyond
            and not state.needs_advice(step_run)
            and room.may_hold_more(pool)
            and _is_under_cap(state, step_run)
        ):
            room.note_unplaced(pool, step_run.step, len(others))
        return _plan_last_resort(state, step_run, others, pool, room, now)
    if not _is_under_cap(state, step_run):
        return orders
    usable, healthy = room.usable.get(pool, []), room.healthy.get(pool, [])
    if is_beyond:
        usable = room.without_held(pool, usable)
        healthy = room.without_held(pool, healthy)
    # Room that is kept from this step may be open to smaller or shorter ones.
    has_healthy, all_healthy = bool(healthy), healthy
    usable = room.open_to(step_run.step, usable)
    healthy = room.open_to(step_run.step, healthy)
    if has_healthy:
        candidates = state.advised(step_run, healthy, now)
        orders += _plan_step(state, step_run, others, candidates, room, now)
        others = others & step_run.waiting
        if others and _is_under_cap(state, step_run):
            full.record_unplaced(pool, step_run.step, all_healthy, room.young_runs)
            if waits_for_room(state, step_run, healthy, room.young_runs):
                _keep_room(state, job_run, step_run, len(others), is_beyond, room)
    # Without a healthy upstream, an ejected one is better than none. A long-running
    # task may always use one, because its failed attempts are not limited.
    is_stuck = step_run.step.is_lasting and bool(others)
    if usable and (pool not in room.healthy or is_stuck):
        candidates = state.advised(step_run, usable, now)
        orders += _plan_step(state, step_run, others, candidates, room, now)
        others = others & step_run.waiting
    orders += _plan_last_resort(state, step_run, others, pool, room, now)
    others = others & step_run.waiting
    is_stuck = is_stuck and bool(others) and _is_under_cap(state, step_run)
    if (
        is_stuck
        and waits_for_room(state, step_run, usable, room.young_runs)
        and pool not in room.lasting_pools
    ):
        kept_on = reserve_upstream(state, step_run, usable)
        if kept_on is not None:
            room.lasting_pools.add(pool)
            room.keep(kept_on, now)
    return orders


def _keep_room(
    state: SchedulerState,
    job_run: JobRun,
    step_run: StepRun,
    count: int,
    is_beyond: bool,
    room: RoundRoom,
) -> None:
    """Keep room from other starts for tasks of which all upstreams are full."""
    pool, step = state.pool_of(job_run), step_run.step
    room.full_pools.add(pool)
    if not is_beyond and not state.needs_advice(step_run):
        room.note_unplaced(pool, step, count)
    if job_run.may_reserve:
        permitted = find_permitted(state, step_run, room.healthy.get(pool, ()))
        room.reserve(pool, step, count, permitted)


def _plan_last_resort(
    state: SchedulerState,
    step_run: StepRun,
    others: set[int],
    pool: str,
    room: RoundRoom,
    now: float,
) -> list[StartOrder]:
    """Return the starts of tasks that only ejected upstreams can run."""
    ejected = room.ejected.get(pool)
    if not others or not ejected or not _is_under_cap(state, step_run):
        return []
    found = find_last_resort(state, pool, step_run, ejected, now)
    if not found:
        return []
    if step_run.step.is_gang:
        found = [*room.healthy.get(pool, ()), *found]
    candidates = state.advised(step_run, found, now)
    return _plan_step(state, step_run, others, candidates, room, now)


def _is_under_cap(state: SchedulerState, step_run: StepRun) -> bool:
    """Return whether the account's cap allows a task, or the whole gang.

    Otherwise, a long-running task would reserve an upstream that its account may not
    use, and others would wait for it.
    """
    step, account = step_run.step, step_run.job.account
    count = step.count if step.is_gang else 1
    return not account or state.usage.allows(account, step.needs.times(count))


def _count_job(
    state: SchedulerState, job_run: JobRun, key: UrgencyKey, is_started: bool
) -> None:
    """Count jobs of each size that begin in time, or become late after that."""
    if job_run.job.is_periodic():
        return
    is_in_time, had_begun = key[0] in IN_TIME_GROUPS, key[5] == 0.0
    queue, size_class = job_run.job.queue, job_run.size_class
    if is_in_time and is_started and not had_begun:
        job_run.is_kept_in_time = True
        state.size_classes.count_kept(queue, size_class)
    elif not is_in_time and job_run.is_kept_in_time:
        job_run.is_kept_in_time = False
        state.size_classes.count_missed(queue, size_class)


def _jobs_by_urgency(
    state: SchedulerState, unix_ms: int
) -> list[tuple[UrgencyKey, JobRun]]:
    keyed: list[tuple[UrgencyKey, str, JobRun]] = []
    for job_run in list(state.jobs.values()):
        try:
            key = _job_key(state, job_run, unix_ms)
        except Exception as error:
            state.set_apart(job_run.job.id, error)
            continue
        if key is not None:
            keyed.append((key, job_run.job.id, job_run))
    _protect_large_jobs(state, keyed)
    keyed.sort()
    ahead_by_queue: Counter[str] = Counter()
    for key, _, job_run in keyed:
        job_run.group = GROUP_NAMES[int(key[0])]
        job_run.position = ahead_by_queue[job_run.job.queue]
        ahead_by_queue[job_run.job.queue] += 1
        job_run.may_reserve = (
            job_run.size_class > 0
            and key[0] in IN_TIME_GROUPS
            and key[3] == FIRST_RANK
            and is_pressed(state, job_run)
        )
    return [(key, job_run) for key, _, job_run in keyed]


def _protect_large_jobs(
    state: SchedulerState, keyed: list[tuple[UrgencyKey, str, JobRun]]
) -> None:
    """Let as many large jobs go first as their classes lack, and begun ones end."""
    waiting: dict[tuple[str, int], list[tuple[float, str, int]]] = {}
    for number, (key, job_id, job_run) in enumerate(keyed):
        is_unbegun = key[0] in IN_TIME_GROUPS and key[3] == UNBEGUN_RANK
        if is_unbegun and job_run.size_class:
            name = (job_run.job.queue, job_run.size_class)
            waiting.setdefault(name, []).append((key[4], job_id, number))
        elif (
            job_run.size_class == LARGEST
            and job_run.is_kept_in_time
            and key[0] in IN_TIME_GROUPS
            and is_pressed(state, job_run)
        ):
            # It needs much of the pool at once. Behind other begun jobs, most of the
            # largest began in time and ended late.
            keyed[number] = ((*key[:4], 0.0, key[5]), job_id, job_run)
    for (queue, size_class), rows in waiting.items():
        missing = state.size_classes.missing(queue, size_class)
        for _, _, number in sorted(rows)[:missing]:
            key, job_id, job_run = keyed[number]
            # Before all others that wait, and before those that have begun.
            keyed[number] = ((*key[:3], FIRST_RANK, 0.0, key[5]), job_id, job_run)


def _job_key(state: SchedulerState, job_run: JobRun, unix_ms: int) -> UrgencyKey | None:
    """Return a job's urgency, or None if no step of it can start."""
    if job_run.state.is_final():
        return None
    job_run.open_due_occurrences(unix_ms)
    if next(job_run.startable_steps(), None) is None:
        return None
    job = job_run.job
    pool = state.pool_of(job_run)
    return urgency_key(
        job_run,
        state.rules_of(job),
        unix_ms,
        state.standings.standing(pool, job.account, job.id, job_run.has_begun()),
        state.run_times,
        is_pressed(state, job_run),
    )


def _plan_step(
    state: SchedulerState,
    step_run: StepRun,
    indexes: set[int],
    candidates: list[Upstream],
    room: RoundRoom,
    now: float,
) -> list[StartOrder]:
    step = step_run.step
    if step.is_gang and len(indexes) < step.count:
        return []
    placed = step_run.placed_by_upstream()
    chosen: list[tuple[int, Upstream]] = []
    for index in sorted(indexes):
        candidates = room.open_to(step, candidates)
        if room.young_runs and not step.is_gang:
            candidates = _limit_young_runs(candidates, room)
        upstream = _place_task(state, step_run, index, candidates, placed, now)
        if upstream is None:
            break
        if upstream.id in room.young_runs:
            room.young_runs[upstream.id] += 1
        chosen.append((index, upstream))
    if step.is_gang and len(chosen) < step.count:
        for index, upstream in chosen:
            state.remove_run(upstream, step_run.task_id(index))
        return []
    return commit_starts(state, step_run, chosen)


def _limit_young_runs(candidates: list[Upstream], room: RoundRoom) -> list[Upstream]:
    """Leave out upstreams of unstable pools that have just started several tasks.

    Most of what is lost with an upstream, and suspected after it, are the runs that
    started together.
    """
    limited: list[Upstream] = []
    for upstream in candidates:
        if room.young_runs.get(upstream.id, 0) < MAX_YOUNG_RUNS:
            limited.append(upstream)
        else:
            upstream.is_limited = True
    return limited


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
    if upstream is not None and task_id in upstream.runs:
        others = without_own_run(candidates, task_id)
        upstream = choose_upstream(step_run, others, placed, avoided_id)
    if upstream is None:
        return None
    placed[upstream.id] = placed.get(upstream.id, 0) + 1
    reserve_run(state, step_run, index, upstream, now)
    return upstream
