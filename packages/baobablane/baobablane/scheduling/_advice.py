"""Cache which upstreams the placement advisor allows for each step.

Load pattern: the advisor handles one call at a time, and a call takes longer the more
upstreams it names. A request therefore names only a few upstreams, those with the most
room first. For each upstream that it allows, the advisor issues a ticket, which the
start order carries. Tickets and rejections are cached, because the set of upstreams
allowed for a step does not change.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ._upstream import Upstream

# The job's id, the occurrence and the number of the step.
AdvisedStep = tuple[str, int, int]

MAX_UPSTREAMS_PER_REQUEST = 8
# A ticket this close to its expiry is not used, because an order takes about 20 ms.
EXPIRY_MARGIN_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask which of the named upstreams may run a step."""

    step: AdvisedStep
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    incarnation: int
    valid_until: float


@dataclass(slots=True)
class AdviceTable:
    """Hold tickets, rejected upstreams, and requests that are pending or in flight."""

    _tickets: dict[AdvisedStep, dict[str, _Ticket]] = field(default_factory=dict)
    _rejected: dict[AdvisedStep, set[str]] = field(default_factory=dict)
    _pending: dict[AdvisedStep, tuple[str, ...]] = field(default_factory=dict)
    _in_flight: set[AdvisedStep] = field(default_factory=set)
    # Requests for tasks that still run, which outlast a planning round.
    _pending_moves: dict[AdvisedStep, tuple[str, ...]] = field(default_factory=dict)

    def clear_pending(self) -> None:
        """Drop the pending requests of the previous planning round."""
        self._pending.clear()

    def eligible(
        self,
        step: AdvisedStep,
        candidates: list[Upstream],
        has_room: Callable[[Upstream], bool],
        now: float,
    ) -> list[Upstream]:
        """Return candidates with a valid ticket; queue a request if none has room.

        `has_room` returns whether one more task of the step fits on an upstream.
        """
        valid = [u for u in candidates if self._is_valid(step, u, now)]
        rejected = self._rejected.get(step, set())
        unknown = [u for u in candidates if u not in valid and u.id not in rejected]
        if unknown and not any(map(has_room, valid)) and step not in self._in_flight:
            unknown.sort(key=lambda u: -u.room().cpu_millis)
            self._pending[step] = tuple(
                u.id for u in unknown[:MAX_UPSTREAMS_PER_REQUEST]
            )
        return valid

    def is_rejected(self, step: AdvisedStep, upstream_id: str) -> bool:
        """Return whether the advisor is known not to allow an upstream for a step."""
        return upstream_id in self._rejected.get(step, ())

    def known_allowed(
        self, step: AdvisedStep, candidates: list[Upstream]
    ) -> list[Upstream]:
        """Return the candidates that were allowed; queue a request if there are none.

        Their tickets may have expired, since the step does not start there yet.
        """
        tickets = self._tickets.get(step, {})
        allowed = [upstream for upstream in candidates if upstream.id in tickets]
        rejected = self._rejected.get(step, set())
        unknown = [u.id for u in candidates if u.id not in rejected]
        if unknown and not allowed and step not in self._in_flight:
            self._pending_moves[step] = tuple(unknown[:MAX_UPSTREAMS_PER_REQUEST])
        return allowed

    def ticket(self, step: AdvisedStep, upstream: Upstream) -> str:
        """Return the ticket for a start, or an empty string if there is none."""
        ticket = self._tickets.get(step, {}).get(upstream.id)
        return ticket.text if ticket else ""

    def pop_requests(self) -> list[AdviceRequest]:
        """Return the pending requests; each step has at most one in flight."""
        pending = {**self._pending_moves, **self._pending}
        requests = [AdviceRequest(step, names) for step, names in pending.items()]
        self._in_flight.update(pending)
        self._pending.clear()
        self._pending_moves.clear()
        return requests

    def apply_answer(
        self,
        request: AdviceRequest,
        tickets: dict[str, str] | None,
        valid_until: float,
        incarnations: dict[str, int],
    ) -> None:
        """Apply an answer, in which `tickets` are keyed by the allowed upstreams.

        None means that there was no response, so the step may be requested again.
        """
        self._in_flight.discard(request.step)
        if tickets is None:
            return
        known = self._tickets.setdefault(request.step, {})
        rejected = self._rejected.setdefault(request.step, set())
        for name in request.upstreams:
            text = tickets.get(name)
            if text is None:
                rejected.add(name)
            elif name in incarnations:
                known[name] = _Ticket(text, incarnations[name], valid_until)

    def remove_job(self, job_id: str) -> None:
        """Drop the tickets and rejections of a job's steps."""
        for table in (self._tickets, self._rejected):
            for step in [step for step in table if step[0] == job_id]:
                del table[step]

    def _is_valid(self, step: AdvisedStep, upstream: Upstream, now: float) -> bool:
        ticket = self._tickets.get(step, {}).get(upstream.id)
        return (
            ticket is not None
            and ticket.incarnation == upstream.entry.incarnation
            and now < ticket.valid_until - EXPIRY_MARGIN_SECONDS
        )
