"""Send the scheduler's orders and apply the responses."""

import asyncio
from collections.abc import Callable, Mapping

from baobablane.scheduling import (
    AdviceRequest,
    PaceOrder,
    Scheduler,
    StartOrder,
    StartResult,
    StopOrder,
)
from baobablane_platform import (
    AdvisorClient,
    UpstreamFencedError,
    UpstreamOrderClient,
    UpstreamResetError,
)

from ..decision_log import DecisionLog
from ..jobs import boot_seconds
from ._order_channels import OrderChannels, OrderKind
from ._ownership import MAX_CONFIRMATION_AGE_SECONDS, MAX_UNCONFIRMED_SECONDS
from ._upstream_poller import UpstreamPoller

# The advisor rejects calls while 32 of them wait, so retries are delayed.
ADVICE_RETRY_SECONDS = 0.3


class OrderSender:
    """Send one owner's orders to upstreams and its requests to the advisor."""

    def __init__(
        self,
        scheduler: Scheduler,
        pollers: Mapping[str, UpstreamPoller],
        channels: OrderChannels,
        advisor_address: str,
        log: DecisionLog,
        epoch: int,
        on_response: Callable[[], None],
        may_order: Callable[[float], bool],
        start_window: Callable[[str], float],
    ) -> None:
        """Prepare to send; `epoch` is the fencing token of all orders to upstreams.

        `may_order` returns whether the ownership was confirmed in the last seconds,
        and `start_window` the seconds within which a start in a zone may be carried
        out.
        """
        self._may_order = may_order
        self._start_window = start_window
        self._scheduler = scheduler
        self._pollers = pollers
        self._channels = channels
        self._advisor = AdvisorClient(advisor_address)
        self._log = log
        self._epoch = epoch
        self._on_response = on_response
        self._advice_lock = asyncio.Lock()

    async def close(self) -> None:
        """Close the connections that this sender opened."""
        await self._advisor.close()

    async def send_start(self, order: StartOrder) -> None:
        """Send a start that is already recorded, and apply the response.

        Raise UpstreamFencedError if the upstream has served a newer owner.
        """
        try:
            with self._log.metrics.start_seconds.time():
                async with self._channels.take(
                    order.upstream, OrderKind.START
                ) as orders:
                    result = await self._try_start(order, orders)
        except UpstreamFencedError:
            raise
        except Exception as error:
            # The order may have been sent.
            self._log.error("start-failed", error, task=str(order.task))
            result = StartResult.UNKNOWN
        self._scheduler.start_answered(order, result, boot_seconds())
        if result is not StartResult.STARTED:
            self._on_response()

    async def _try_start(
        self, order: StartOrder, orders: UpstreamOrderClient | None
    ) -> StartResult:
        if orders is None:
            return StartResult.NOT_SENT
        upstream = self._scheduler.state.upstreams.get(order.upstream)
        poller = self._pollers.get(order.upstream)
        job_run = self._scheduler.state.jobs.get(order.task.job)
        if (
            upstream is None
            or poller is None
            or job_run is None
            or not self._scheduler.is_start_wanted(order)
            or upstream.entry.incarnation != order.incarnation
        ):
            return StartResult.LATE
        if not upstream.is_reachable:
            # It was lost while the start waited for a connection.
            return StartResult.NOT_SENT
        if not self._may_order(MAX_CONFIRMATION_AGE_SECONDS):
            # The process was suspended after it had recorded the start.
            return StartResult.LATE
        if upstream.is_over_capacity():
            # The capacity shrank after the start was planned.
            return StartResult.NO_ROOM
        window_seconds = self._start_window(upstream.entry.zone)
        if window_seconds <= 0.0:
            # The zone was evacuated after the start was planned, or that is not known.
            return StartResult.LATE
        deadline_ms = poller.start_deadline_ms(window_seconds)
        if deadline_ms is None:
            return StartResult.LATE
        self._scheduler.start_sent(order, deadline_ms, boot_seconds())
        result = await orders.start(upstream.entry, order, self._epoch, deadline_ms)
        if result is StartResult.FENCED:
            raise UpstreamFencedError(order.upstream)
        return result

    async def send_stop(self, order: StopOrder) -> None:
        """Send an order to stop a run, and report a response to the scheduler."""
        async with self._channels.take(order.upstream, OrderKind.STOP) as orders:
            upstream = self._scheduler.state.upstreams.get(order.upstream)
            if (
                orders is None
                or upstream is None
                or not self._may_order(MAX_UNCONFIRMED_SECONDS)
            ):
                # It is repeated while it is needed.
                return
            try:
                is_confirmed = await orders.stop(upstream.entry, order, self._epoch)
            except UpstreamResetError:
                # Others may use up its connections; that of the renewals is open.
                if poller := self._pollers.get(order.upstream):
                    poller.add_stop(order)
                return
            if is_confirmed:
                self._scheduler.stop_answered(order, boot_seconds())

    async def send_pace(self, order: PaceOrder) -> None:
        """Send a change of a run's pace, and report a missing response."""
        async with self._channels.take(order.upstream, OrderKind.PACE) as orders:
            upstream = self._scheduler.state.upstreams.get(order.upstream)
            if upstream is None or not self._may_order(MAX_UNCONFIRMED_SECONDS):
                return
            if orders is None or not await orders.set_pace(
                upstream.entry, order, self._epoch
            ):
                self._scheduler.pace_unanswered(order)

    async def request_advice(self, request: AdviceRequest) -> None:
        """Send a request to the placement advisor and apply its answer."""
        # The advisor handles one call per entry instance at a time.
        async with self._advice_lock:
            requested_at = boot_seconds()
            try:
                advice = await self._advisor.request_advice(request)
            except Exception as error:
                self._log.error("advice-failed", error, step=str(request.step))
                advice = None
        if advice is None:
            self._log.info("advice-missing", step=str(request.step))
            await asyncio.sleep(ADVICE_RETRY_SECONDS)
            self._scheduler.advice_received(request, None, 0.0)
        else:
            valid_until = requested_at + advice.valid_seconds
            self._scheduler.advice_received(
                request, advice.tickets_by_upstream, valid_until
            )
        self._on_response()
