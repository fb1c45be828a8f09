"""Decide when and on which upstream each request runs."""

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
from ._request_step import Finish, RequestStep, Start, Wait
from ._result_class import NotStarted, Retryable, classify_result
from ._upstream_table import UpstreamTable

# Normal requests that run longer can keep urgent ones from starting in time.
LONG_RUN_SECONDS = 1.4


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """Bound retries, backoff and the retry times given to callers."""

    # Failed attempts after which an idempotent request is given up. A request that
    # can't be sent is ended once more upstreams than this are excluded for it.
    max_failures: int = 3
    # Retries that each started request allows, and the maximum saved up in a pool.
    retry_ratio: float = 0.2
    retry_reserve: float = 10.0
    # No request is sent for this long to an upstream that reported that it is full.
    full_backoff_seconds: float = 0.05
    min_retry_after_seconds: float = 1.0
    max_retry_after_seconds: float = 60.0
    ejection: EjectionPolicy = EjectionPolicy()


class Dispatcher:
    """Schedule the waiting and running requests of one entry instance."""

    def __init__(
        self, zone: str, escrow: Escrow, random: Random, policy: DispatchPolicy
    ) -> None:
        """Create a dispatcher that has no pools until a configuration is applied."""
        self._zone = zone
        self._escrow = escrow
        self._policy = policy
        self._view = ConfigView(-1)
        self._pools: dict[str, PoolState] = {}
        self._upstreams = UpstreamTable(
            policy.ejection, policy.full_backoff_seconds, random
        )
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
        """Apply a configuration without moving the requests that already run."""
        self._view = view
        self._upstreams.set_entry_instances(view.settings.entry_instances)
        for name, members in view.serving_by_pool.items():
            pool = self._pools.get(name) or self._make_pool(name)
            upstreams = tuple(self._upstreams.update(member) for member in members)
            pool.set_upstreams(upstreams, self._zone)
        for name in self._pools.keys() - view.serving_by_pool.keys():
            self._pools[name].set_upstreams((), self._zone)
        urgent_pools = {
            view.pool_of_queue(queue)
            for queue in view.queues_by_name.values()
            if queue.queue_class is QueueClass.URGENT
        }
        for name, pool in self._pools.items():
            pool.has_urgent_queues = name in urgent_pools
        for name, queue in view.queues_by_name.items():
            self._run_times.setdefault(name, RunTimeEstimate(queue.run_seconds))

    @property
    def escrow(self) -> Escrow:
        """Return the escrow in which new starts are counted."""
        return self._escrow

    def set_escrow(self, escrow: Escrow) -> None:
        """Count new starts in another escrow, but leave running requests in theirs."""
        self._escrow = escrow

    def set_leaving(self, instances: Collection[str]) -> None:
        """Stop sending requests to upstreams that the platform lists as leaving."""
        self._upstreams.set_leaving(instances)
        for pool in self._pools.values():
            pool.update_capacity()

    def in_flight(self, upstream: str) -> int:
        """Return how many requests this entry instance has in flight at an upstream."""
        return self._upstreams.in_flight(upstream)

    def ejected(self, now: float) -> set[str]:
        """Return the ids of the ejected upstreams."""
        return self._upstreams.ejected(now)

    def submit(self, request: WorkRequest, now: float) -> RequestStep:
        """Start a request, queue it, or reject it immediately."""
        pool = self._pools.get(request.pool)
        if pool is None or not pool.upstreams:
            return self._finish_unstarted(
                request, ResultCode.NO_UPSTREAM, Reason.NO_ROOM
            )
        if pool.backlog.count(request.team) == 0:
            pool.fair_clock.activate(request.team, pool.backlog.all_teams())
        start_by = self._start_by(request)
        wait_seconds = self._expected_wait_seconds(pool, request)
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
        blocked = pool.blocked_reason(self._available_units(request.team))
        if (
            blocked is None
            and len(pool.backlog) == 0
            and self._leaves_urgent_reserve(pool, request)
        ):
            started = self._start(pool, request, Reason.IMMEDIATE, now)
            if started is not None:
                return started
        pool.backlog.add(waiting)
        return Wait(blocked or Reason.NO_ROOM, start_by)

    def has_waiting(self) -> bool:
        """Return whether any request is queued."""
        return any(pool.backlog for pool in self._pools.values())

    def start_waiting(self, now: float) -> Iterator[Start]:
        """Start queued requests while there is capacity, and yield each start."""
        for pool in self._pools.values():
            while len(pool.backlog):
                started = self._start_next(pool, now)
                if started is None:
                    break
                yield started

    def abandon(
        self, request_id: str, code: ResultCode, reason: Reason
    ) -> Finish | None:
        """Drop a queued request; return its last step, or None if it is not queued."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.waiting is None:
            return None
        pool = self._pools[request.pool]
        if not pool.backlog.remove(request.waiting):
            return None
        del self.requests_by_id[request_id]
        retry_after = self._expected_wait_seconds(pool, request)
        return self._finish_unstarted(request, code, reason, retry_after)

    def handle_result(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> RequestStep:
        """Record an attempt's result and return the next step of its request."""
        request = self.requests_by_id[attempt.request]
        pool = self._pools[request.pool]
        upstream = self._upstreams.end_attempt(attempt.upstream)
        self._upstreams.record_health(request, upstream, pool, result, now)
        step = self._next_step(pool, request, upstream, result, now)
        if isinstance(step, Finish):
            self._release(pool, request, result, now)
            del self.requests_by_id[request.id]
        return step

    def demand(self) -> list[DemandLine]:
        """Return each team's waiting and running work in every pool here."""
        return [line for pool in self._pools.values() for line in pool.demand()]

    def waiting_at_team_limit(self) -> dict[str, int]:
        """Return, by team, how many requests wait for a unit of the team's limit."""
        waiting: Counter[str] = Counter()
        for pool in self._pools.values():
            for team, count in pool.backlog.counts_by_team().items():
                if self._available_units(team) < 1:
                    waiting[team] += count
        return dict(waiting)

    def share_of(self, team: str) -> float:
        """Return a team's share, or 1 for work without a key."""
        known_team = self._view.teams_by_name.get(team)
        return 1.0 if known_team is None else known_team.share

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
        total_seconds = request.deadline_at - request.arrived_at
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        return request.deadline_at - min(run_seconds, total_seconds / 2)

    def _expected_wait_seconds(self, pool: PoolState, request: WorkRequest) -> float:
        queue_class = request.queue.queue_class
        ahead_count = pool.backlog.count_in_class(queue_class, request.team)
        if queue_class is QueueClass.NORMAL:
            ahead_count = pool.backlog.count(request.team)
        if ahead_count == 0:
            return 0.0
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        return (
            ahead_count
            * run_seconds
            / pool.team_slots(request.team, self._usable_units(request.team))
        )

    def _usable_units(self, team: str) -> float:
        return math.inf if team == OPEN_TEAM else self._escrow.usable(team)

    def _available_units(self, team: str) -> float:
        return math.inf if team == OPEN_TEAM else self._escrow.available(team)

    def _leaves_urgent_reserve(self, pool: PoolState, request: WorkRequest) -> bool:
        if not pool.has_urgent_queues or not self._is_long(request):
            return True
        normal_fraction = 1 - self._view.settings.urgent_reserve
        return pool.running_long < max(1, int(pool.budget * normal_fraction))

    def _is_long(self, request: WorkRequest) -> bool:
        if request.queue.queue_class is QueueClass.URGENT:
            return False
        run_seconds = self._run_times[request.queue.name].quantile(0.5)
        return run_seconds > LONG_RUN_SECONDS

    def _start_next(self, pool: PoolState, now: float) -> Start | None:
        for queue_class in pool.class_floor.start_order():
            teams = (
                team
                for team in pool.backlog.teams(queue_class)
                if pool.blocked_reason(self._available_units(team)) is None
            )
            team = pool.next_team(list(teams))
            if team is None:
                continue
            waiting = pool.backlog.oldest(queue_class, team)
            request = self.requests_by_id[waiting.request]
            if not self._leaves_urgent_reserve(pool, request):
                continue
            started = self._start(pool, request, Reason.WAITED, now)
            if started is not None:
                pool.backlog.remove(waiting)
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
        pool.fair_clock.record_start(request.team)
        self._charge(pool, request, run_seconds, now)
        pool.retry_budget.earn()
        return self._send(request, upstream, reason, now)

    def _send(
        self, request: WorkRequest, upstream: UpstreamState, reason: Reason, now: float
    ) -> Start:
        self._upstreams.start_attempt(upstream, now)
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
    ) -> RequestStep:
        result_class = classify_result(request, result, self._policy.max_failures)
        match result_class:
            case Finish():
                return result_class
            case Retryable():
                return self._retry(pool, request, upstream, result_class.code, now)
            case NotStarted() if result is AttemptResult.NOT_RECORDED:
                return self._finish_unstarted(
                    request, ResultCode.LOG_UNAVAILABLE, Reason.UNCONFIRMED
                )
            case NotStarted():
                return self._resend_unstarted(pool, request, upstream, result, now)

    def _resend_unstarted(
        self,
        pool: PoolState,
        request: WorkRequest,
        upstream: UpstreamState,
        result: AttemptResult,
        now: float,
    ) -> RequestStep:
        if result is AttemptResult.NOT_SENT:
            request.excluded_upstreams.add(upstream.id)
            if len(request.excluded_upstreams) > self._policy.max_failures:
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
        request.excluded_upstreams = set(request.failed_upstreams)
        pool.backlog.add(waiting, at_front=True)
        return Wait(Reason.NO_ROOM, waiting.start_by)

    def _retry(
        self,
        pool: PoolState,
        request: WorkRequest,
        upstream: UpstreamState,
        code: ResultCode,
        now: float,
    ) -> RequestStep:
        request.excluded_upstreams.add(upstream.id)
        if now >= request.deadline_at:
            return Finish(code, Reason.DEADLINE)
        chosen = self._upstreams.choose(pool, request, now)
        if chosen is None:
            return Finish(code, Reason.NO_ROOM)
        if not pool.retry_budget.try_spend():
            return Finish(code, Reason.RETRY_BUDGET)
        return self._send(request, chosen, Reason.RETRY_FAILED, now)

    def _release(
        self, pool: PoolState, request: WorkRequest, result: AttemptResult, now: float
    ) -> None:
        started_at = now if request.started_at is None else request.started_at
        actual_seconds = now - started_at
        self._charge(pool, request, actual_seconds - request.charged_seconds, now)
        if result is AttemptResult.DONE:
            self._run_times[request.queue.name].observe(actual_seconds)
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
        pool.fair_clock.charge(
            request.team,
            seconds,
            pool.weight(request.team, self.share_of(request.team)),
        )
        pool.class_floor.charge(request.queue.queue_class, seconds, now)
        pool.served_seconds_by_team[request.team] += seconds

    def _finish_unstarted(
        self,
        request: WorkRequest,
        code: ResultCode,
        reason: Reason,
        retry_after_seconds: float = 0.0,
    ) -> Finish:
        if request.may_have_run_code is not None:
            return Finish(request.may_have_run_code, Reason.MAY_HAVE_RUN)
        policy = self._policy
        retry_after = min(retry_after_seconds, policy.max_retry_after_seconds)
        return Finish(code, reason, max(retry_after, policy.min_retry_after_seconds))
