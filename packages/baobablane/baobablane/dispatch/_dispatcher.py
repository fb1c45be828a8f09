"""Decide when and where each request runs."""

import math
from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from random import Random

from ..admission import ClassFloor, RunTimeEstimate, WaitingRequest
from ..config import ConfigView, QueueClass
from ..errors import ResultCode
from ..limits import Escrow
from ..routing import EjectionPolicy, RetryBudget, UpstreamState
from ..shares import DemandLine
from ._attempt import Attempt, AttemptResult
from ._pool import PoolState
from ._reason import Reason
from ._request import OPEN_TEAM, WorkRequest
from ._step import Finish, Start, Step, Wait
from ._upstream_table import UpstreamTable
from ._verdict import Repeatable, Unstarted, judge

# Work that runs for longer may keep urgent work from starting in time.
URGENT_START_SECONDS = 1.4


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """Hold the bounds of retries and waiting."""

    most_failures: int = 3
    retry_ratio: float = 0.2
    retry_reserve: float = 10.0
    full_seconds: float = 0.05
    least_retry_after_seconds: float = 1.0
    most_retry_after_seconds: float = 60.0
    ejection: EjectionPolicy = EjectionPolicy()


class Dispatcher:
    """Hold waiting and running requests of one entry instance."""

    def __init__(
        self, zone: str, escrow: Escrow, random: Random, policy: DispatchPolicy
    ) -> None:
        """Start without a configuration."""
        self._zone = zone
        self._escrow = escrow
        self._policy = policy
        self._view = ConfigView(-1)
        self._pools: dict[str, PoolState] = {}
        self._upstreams = UpstreamTable(policy.ejection, policy.full_seconds, random)
        self._run_times: dict[str, RunTimeEstimate] = {}
        self.requests_by_id: dict[str, WorkRequest] = {}

    @property
    def view(self) -> ConfigView:
        """Return the configuration in force."""
        return self._view

    @property
    def pools(self) -> dict[str, PoolState]:
        """Return the pools by name."""
        return self._pools

    def apply_config(self, view: ConfigView) -> None:
        """Take a revision into force; running requests go on where they are."""
        self._view = view
        self._upstreams.set_sharers(view.settings.entry_instances)
        for name, members in view.serving_by_pool.items():
            pool = self._pools.get(name) or self._make_pool(name)
            upstreams = tuple(self._upstreams.take(member) for member in members)
            pool.set_upstreams(upstreams, self._zone)
        for name in self._pools.keys() - view.serving_by_pool.keys():
            self._pools[name].set_upstreams((), self._zone)
        urgent = {
            view.pool_of_queue(queue)
            for queue in view.queues_by_name.values()
            if queue.queue_class is QueueClass.URGENT
        }
        for name, pool in self._pools.items():
            pool.has_urgent_queues = name in urgent
        for name, queue in view.queues_by_name.items():
            self._run_times.setdefault(name, RunTimeEstimate(queue.run_seconds))

    @property
    def escrow(self) -> Escrow:
        """Return the escrow that counts new starts."""
        return self._escrow

    def set_escrow(self, escrow: Escrow) -> None:
        """Count new starts in an escrow; running requests keep theirs."""
        self._escrow = escrow

    def set_leaving(self, instances: Collection[str]) -> None:
        """Give nothing new to the upstreams that the platform lists as leaving."""
        self._upstreams.set_leaving(instances)
        for pool in self._pools.values():
            pool.count_capacity()

    def in_flight(self, upstream: str) -> int:
        """Return how many requests of this entry instance an upstream has."""
        return self._upstreams.in_flight(upstream)

    def ejected(self, now: float) -> set[str]:
        """Return the upstreams that fail more than their peers."""
        return self._upstreams.ejected(now)

    def submit(self, request: WorkRequest, now: float) -> Step:
        """Start a request, let it wait, or refuse it at once."""
        pool = self._pools.get(request.pool)
        if pool is None or not pool.upstreams:
            return self._finish_unstarted(
                request, ResultCode.NO_UPSTREAM, Reason.NO_ROOM
            )
        if pool.line.count(request.team) == 0:
            pool.clock.activate(request.team, pool.line.all_teams())
        start_by = self._start_by(request)
        wait_seconds = self._expected_wait(pool, request)
        if now + wait_seconds > start_by:
            retry_after = now + wait_seconds - start_by
            return self._finish_unstarted(
                request, ResultCode.QUEUE_FULL, Reason.POOL_BUDGET, retry_after
            )
        self.requests_by_id[request.id] = request
        waiting = WaitingRequest(
            request.id, request.team, request.queue.queue_class, start_by
        )
        request.waiting = waiting
        blocked = pool.blocked_reason(self._available(request.team))
        if blocked is None and len(pool.line) == 0 and self._fits(pool, request):
            started = self._start(pool, request, Reason.IMMEDIATE, now)
            if started is not None:
                return started
        pool.line.add(waiting)
        return Wait(blocked or Reason.NO_ROOM, start_by)

    def has_waiting(self) -> bool:
        """Return whether any request waits."""
        return any(pool.line for pool in self._pools.values())

    def pump(self, now: float) -> Iterator[Start]:
        """Yield the waiting requests that start now."""
        for pool in self._pools.values():
            while len(pool.line):
                started = self._start_next(pool, now)
                if started is None:
                    break
                yield started

    def abandon(
        self, request_id: str, code: ResultCode, reason: Reason
    ) -> Finish | None:
        """Give up a request that waits; return None if it is not waiting."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.waiting is None:
            return None
        pool = self._pools[request.pool]
        if not pool.line.remove(request.waiting):
            return None
        del self.requests_by_id[request_id]
        retry_after = self._expected_wait(pool, request)
        return self._finish_unstarted(request, code, reason, retry_after)

    def answered(self, attempt: Attempt, result: AttemptResult, now: float) -> Step:
        """Take an attempt's result and return what to do with its request."""
        request = self.requests_by_id[attempt.request]
        pool = self._pools[request.pool]
        upstream = self._upstreams.end(attempt.upstream)
        self._upstreams.note_health(request, upstream, pool, result, now)
        step = self._next_step(pool, request, upstream, result, now)
        if isinstance(step, Finish):
            self._release(pool, request, result, now)
            del self.requests_by_id[request.id]
        return step

    def demand(self) -> list[DemandLine]:
        """Return the work of every team for every pool at this entry instance."""
        return [line for pool in self._pools.values() for line in pool.demand()]

    def waiting_for_limit(self) -> dict[str, int]:
        """Return the waiting requests of teams that have no unit left here."""
        waiting: Counter[str] = Counter()
        for pool in self._pools.values():
            for team, count in pool.line.counts_by_team().items():
                if self._available(team) < 1:
                    waiting[team] += count
        return dict(waiting)

    def share_of(self, team: str) -> float:
        """Return a team's share, 1 for work without a key."""
        held = self._view.teams_by_name.get(team)
        return 1.0 if held is None else held.share

    def _make_pool(self, name: str) -> PoolState:
        policy = self._policy
        pool = PoolState(
            name,
            ClassFloor(self._view.settings.urgent_floor),
            RetryBudget(policy.retry_ratio, policy.retry_reserve),
        )
        self._pools[name] = pool
        return pool

    def _start_by(self, request: WorkRequest) -> float:
        whole = request.deadline_at - request.arrived_at
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        return request.deadline_at - min(run_seconds, whole / 2)

    def _expected_wait(self, pool: PoolState, request: WorkRequest) -> float:
        queue_class = request.queue.queue_class
        ahead = pool.line.count_in_class(queue_class, request.team)
        if queue_class is QueueClass.NORMAL:
            ahead = pool.line.count(request.team)
        if ahead == 0:
            return 0.0
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        return (
            ahead
            * run_seconds
            / pool.own_slots(request.team, self._units(request.team))
        )

    def _units(self, team: str) -> float:
        return math.inf if team == OPEN_TEAM else self._escrow.usable(team)

    def _available(self, team: str) -> float:
        return math.inf if team == OPEN_TEAM else self._escrow.available(team)

    def _fits(self, pool: PoolState, request: WorkRequest) -> bool:
        if not pool.has_urgent_queues or not self._is_long(request):
            return True
        part = 1 - self._view.settings.urgent_reserve
        return pool.running_long < max(1, int(pool.budget * part))

    def _is_long(self, request: WorkRequest) -> bool:
        if request.queue.queue_class is QueueClass.URGENT:
            return False
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        return run_seconds > URGENT_START_SECONDS

    def _start_next(self, pool: PoolState, now: float) -> Start | None:
        for queue_class in pool.floor.start_order():
            teams = (
                team
                for team in pool.line.teams(queue_class)
                if pool.blocked_reason(self._available(team)) is None
            )
            team = pool.next_team(list(teams))
            if team is None:
                continue
            waiting = pool.line.oldest(queue_class, team)
            request = self.requests_by_id[waiting.request]
            if not self._fits(pool, request):
                continue
            started = self._start(pool, request, Reason.WAITED, now)
            if started is not None:
                pool.line.remove(waiting)
                return started
        return None

    def _start(
        self, pool: PoolState, request: WorkRequest, reason: Reason, now: float
    ) -> Start | None:
        upstream = self._upstreams.choose(pool, request, now)
        if upstream is None:
            return None
        if request.team != OPEN_TEAM:
            if not self._escrow.start(request.team):
                return None
            request.escrow = self._escrow
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        request.started_at = now
        request.charged_seconds = run_seconds
        request.is_long = self._is_long(request)
        pool.running_long += request.is_long
        pool.running += 1
        pool.running_by_team[request.team] += 1
        pool.clock.started(request.team)
        self._charge(pool, request, run_seconds, now)
        pool.retries.first_attempt()
        return self._send(request, upstream, reason, now)

    def _send(
        self, request: WorkRequest, upstream: UpstreamState, reason: Reason, now: float
    ) -> Start:
        self._upstreams.begin(upstream, now)
        request.attempts += 1
        request.upstream = upstream.id
        attempt = Attempt(
            f"{request.id}.{request.attempts}",
            request.id,
            upstream.id,
            request.attempts,
        )
        return Start(attempt, reason, upstream.zone)

    def _next_step(
        self,
        pool: PoolState,
        request: WorkRequest,
        upstream: UpstreamState,
        result: AttemptResult,
        now: float,
    ) -> Step:
        verdict = judge(request, result, self._policy.most_failures)
        match verdict:
            case Finish():
                return verdict
            case Repeatable():
                return self._retry(pool, request, upstream, verdict.code, now)
            case Unstarted() if result is AttemptResult.NOT_RECORDED:
                return self._finish_unstarted(
                    request, ResultCode.LOG_UNAVAILABLE, Reason.UNCONFIRMED
                )
            case Unstarted():
                return self._again_unstarted(pool, request, upstream, result, now)

    def _again_unstarted(
        self,
        pool: PoolState,
        request: WorkRequest,
        upstream: UpstreamState,
        result: AttemptResult,
        now: float,
    ) -> Step:
        if result is AttemptResult.NOT_SENT:
            request.tried.add(upstream.id)
            if len(request.tried) > self._policy.most_failures:
                return self._finish_unstarted(
                    request, ResultCode.NOT_STARTED, Reason.NO_ROOM
                )
        chosen = self._upstreams.choose(pool, request, now)
        if chosen is not None:
            return self._send(request, chosen, Reason.RETRY_NOT_STARTED, now)
        waiting = request.waiting
        if waiting is None or now >= waiting.start_by:
            return self._finish_unstarted(
                request, ResultCode.NOT_STARTED, Reason.NO_ROOM
            )
        self._release(pool, request, result, now)
        request.upstream = ""
        request.tried = set(request.failed_on)
        pool.line.add(waiting, at_front=True)
        return Wait(Reason.NO_ROOM, waiting.start_by)

    def _retry(
        self,
        pool: PoolState,
        request: WorkRequest,
        upstream: UpstreamState,
        code: ResultCode,
        now: float,
    ) -> Step:
        request.tried.add(upstream.id)
        if now >= request.deadline_at:
            return Finish(code, Reason.DEADLINE)
        chosen = self._upstreams.choose(pool, request, now)
        if chosen is None:
            return Finish(code, Reason.NO_ROOM)
        if not pool.retries.take():
            return Finish(code, Reason.RETRY_BUDGET)
        return self._send(request, chosen, Reason.RETRY_FAILED, now)

    def _release(
        self, pool: PoolState, request: WorkRequest, result: AttemptResult, now: float
    ) -> None:
        started_at = now if request.started_at is None else request.started_at
        actual = now - started_at
        self._charge(pool, request, actual - request.charged_seconds, now)
        if result is AttemptResult.DONE:
            self._run_times[request.queue.name].observe(actual)
        pool.running -= 1
        pool.running_long -= request.is_long
        request.is_long = False
        pool.running_by_team[request.team] -= 1
        if request.escrow is not None:
            request.escrow.finish(request.team)
            request.escrow = None

    def _charge(
        self, pool: PoolState, request: WorkRequest, seconds: float, now: float
    ) -> None:
        pool.clock.charge(
            request.team,
            seconds,
            pool.weight(request.team, self.share_of(request.team)),
        )
        pool.floor.charge(request.queue.queue_class, seconds, now)
        pool.served_by_team[request.team] += seconds

    def _finish_unstarted(
        self,
        request: WorkRequest,
        code: ResultCode,
        reason: Reason,
        retry_after_seconds: float = 0.0,
    ) -> Finish:
        if request.ran is not None:
            return Finish(request.ran, Reason.MAY_HAVE_RUN)
        policy = self._policy
        bounded = min(retry_after_seconds, policy.most_retry_after_seconds)
        return Finish(code, reason, max(bounded, policy.least_retry_after_seconds))
