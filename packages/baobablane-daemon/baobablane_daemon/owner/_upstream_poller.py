"""Renew an upstream's leases and read what it runs."""

import asyncio
import math
from collections.abc import Callable

from baobablane.scheduling import (
    SLOWEST_CLOCK_RATE,
    LeaseTracker,
    RenewalReport,
    Scheduler,
    StopOrder,
)
from baobablane_platform import (
    UpstreamFencedError,
    UpstreamOrderClient,
    UpstreamUnreachableError,
    format_task_id,
)

from ..decision_log import DecisionLog
from ..jobs import boot_seconds
from ._lease_record import LEASE_SECONDS, LeaseRecord
from ._ownership import MAX_UNCONFIRMED_SECONDS

# A start doesn't need a longer lease than this: the next renewal follows within 1 s.
MIN_START_LEASE_SECONDS = 2.5
# An upstream responds after this time unless a task ends earlier, to limit the number
# of polls.
POLL_WAIT_MS = 900
# Maximum wait that an upstream allows; an idle one has no task end to report.
IDLE_POLL_WAIT_MS = 2000
POLL_RETRY_SECONDS = 0.15
# Interval of lease renewals while the ends of tasks can't be recorded.
RECORD_WAIT_SECONDS = 0.8

# Stops that are sent between two renewals. The others are repeated.
MAX_STOPS_PER_POLL = 8

# At most this many runs are logged when their upstream is lost.
MAX_LOGGED_RUNS = 5


class UpstreamPoller:
    """Poll one upstream to renew its leases and to read which tasks have ended."""

    def __init__(
        self,
        upstream_id: str,
        fencing_token: int,
        scheduler: Scheduler,
        orders: UpstreamOrderClient,
        log: DecisionLog,
        on_report: Callable[[], None],
        may_order: Callable[[float], bool],
        lease_record: LeaseRecord,
    ) -> None:
        """Prepare to poll; `on_report` is called after each response or failure.

        `may_order` returns whether the ownership was confirmed in the last seconds.
        """
        self._may_order = may_order
        self._lease_record = lease_record
        self._id = upstream_id
        self._fencing_token = fencing_token
        self._scheduler = scheduler
        self._orders = orders
        self._log = log
        self._on_report = on_report
        # Set by the owner after it has recorded the ends of tasks.
        self.ends_recorded = asyncio.Event()
        self._is_reachable = False
        # Rows of the latest report that could not be decoded; each is logged once.
        self._malformed_rows: set[str] = set()
        # Stops for which the upstream takes no connection.
        self._unsent_stops: list[StopOrder] = []

    async def run(self) -> None:
        """Poll until the upstream is removed, or raise UpstreamFencedError."""
        try:
            await self._poll_until_removed()
        finally:
            await self._orders.close_renewals(self._id)

    async def _poll_until_removed(self) -> None:
        while self._id in self._scheduler.state.upstreams:
            try:
                await self._send_stops()
                if self._id in self._scheduler.state.upstreams:
                    await self._poll()
            except UpstreamUnreachableError as error:
                self._handle_unreachable(str(error))
                await asyncio.sleep(POLL_RETRY_SECONDS)
            except UpstreamFencedError:
                raise
            except Exception as error:
                self._log.error("poll-failed", error, upstream=self._id)
                await asyncio.sleep(POLL_RETRY_SECONDS)

    def add_stop(self, order: StopOrder) -> None:
        """Send a stop before the next renewal, for which a connection is open.

        A stop of which there are too many is left out: it is repeated.
        """
        if order not in self._unsent_stops[:MAX_STOPS_PER_POLL]:
            self._unsent_stops = [*self._unsent_stops, order][:MAX_STOPS_PER_POLL]

    async def check(self, orders: UpstreamOrderClient) -> None:
        """Read the upstream's state now, beside a poll that waits for a task to end."""
        upstream = self._scheduler.state.upstreams.get(self._id)
        if upstream is None or not self._may_order(MAX_UNCONFIRMED_SECONDS):
            return
        requested_at = boot_seconds()
        try:
            report = await orders.read_runs(upstream.entry, self._fencing_token)
        except UpstreamUnreachableError as error:
            self._handle_unreachable(str(error))
            return
        self._apply(report, requested_at)

    def start_deadline_ms(self, max_seconds: float = math.inf) -> int | None:
        """Return a lease deadline for the next start, in ms of the upstream's clock.

        The start must not be carried out later than `max_seconds` from now. Return None
        while that clock is unknown, or no lease may be granted.
        """
        upstream = self._scheduler.state.upstreams.get(self._id)
        if (
            upstream is None
            or upstream.lease is None
            or not self._lease_record.may_grant(self._id)
        ):
            return None
        now = boot_seconds()
        seconds = self._lease_record.lease_seconds(now, LEASE_SECONDS)
        if seconds <= 0.0:
            return None
        deadline_ms = upstream.lease.deadline_for_start(
            now, MIN_START_LEASE_SECONDS, seconds
        )
        if math.isinf(max_seconds):
            return deadline_ms
        # On a slow clock, the deadline would be reached after more than `max_seconds`.
        latest_ms = upstream.lease.clock_at(now + max_seconds * SLOWEST_CLOCK_RATE)
        return min(deadline_ms, latest_ms)

    async def _poll(self) -> None:
        upstream = self._scheduler.state.upstreams[self._id]
        may_grant = False
        if upstream.is_reachable and upstream.lease is not None:
            may_grant = await self._lease_record.wait_until_grantable(self._id)
            if self._id not in self._scheduler.state.upstreams:
                return
            upstream = self._scheduler.state.upstreams[self._id]
        entry = upstream.entry
        requested_at = boot_seconds()
        if not entry.address or not self._may_order(MAX_UNCONFIRMED_SECONDS):
            await asyncio.sleep(POLL_RETRY_SECONDS)
            return
        has_unrecorded_ends = upstream.applied_end > upstream.recorded_end
        is_new_or_unreachable = upstream.lease is None or not upstream.is_reachable
        wait_ms = POLL_WAIT_MS if upstream.runs else IDLE_POLL_WAIT_MS
        if has_unrecorded_ends or is_new_or_unreachable or not may_grant:
            wait_ms = 0
        # The lease of an upstream that does not respond is not extended, so that the
        # time by which all its leases have expired stays fixed.
        deadline_ms = None
        if may_grant and upstream.is_reachable and upstream.lease is not None:
            seconds = self._lease_record.lease_seconds(requested_at, LEASE_SECONDS)
            if seconds > 0.0:
                deadline_ms = upstream.lease.extend(requested_at, seconds)
        report = await self._orders.renew_leases(
            entry, self._fencing_token, deadline_ms, upstream.recorded_end, wait_ms
        )
        self._apply(report, requested_at)
        current = self._scheduler.state.upstreams.get(self._id)
        if current is not None and current.applied_end > current.recorded_end:
            await self._wait_until_recorded()

    async def _send_stops(self) -> None:
        stops, self._unsent_stops = self._unsent_stops, []
        for order in stops:
            upstream = self._scheduler.state.upstreams.get(self._id)
            if upstream is None or not self._may_order(MAX_UNCONFIRMED_SECONDS):
                return
            if await self._orders.stop_between_renewals(
                upstream.entry, order, self._fencing_token
            ):
                self._scheduler.stop_answered(order, boot_seconds())

    def _apply(self, report: RenewalReport, requested_at: float) -> None:
        now = boot_seconds()
        self._log_malformed_rows(report)
        self._scheduler.report_received(self._id, report, requested_at, now)
        upstream = self._scheduler.state.upstreams.get(self._id)
        if upstream is None:
            # The upstream was removed while the call was in flight.
            return
        if upstream.lease is None:
            upstream.lease = LeaseTracker(now, report.clock_ms)
        else:
            upstream.lease.observe_clock(now, report.clock_ms)
        if not self._is_reachable:
            self._is_reachable = True
            self._log.info("upstream-regained", upstream=self._id)
        self._on_report()

    def _log_malformed_rows(self, report: RenewalReport) -> None:
        new_rows = set(report.malformed_rows) - self._malformed_rows
        self._malformed_rows = set(report.malformed_rows)
        for row in new_rows:
            self._log.info("report-row-skipped", upstream=self._id, reason=row)

    async def _wait_until_recorded(self) -> None:
        try:
            async with asyncio.timeout(RECORD_WAIT_SECONDS):
                await self.ends_recorded.wait()
        except TimeoutError:
            self._log.info("ends-unrecorded", upstream=self._id)
        self.ends_recorded.clear()

    def _log_lost(self, reason: str, now: float) -> None:
        upstream = self._scheduler.state.upstreams[self._id]
        youngest = sorted(upstream.runs.values(), key=lambda r: -r.started_at)
        self._log.info(
            "upstream-lost",
            upstream=self._id,
            incarnation=upstream.entry.incarnation,
            reason=reason,
            runs=len(youngest),
            leases_end_in_seconds=upstream.latest_lease_expiry(
                self._scheduler.state.policy.unknown_lease_seconds
            )
            - now,
            # Each with its age in seconds.
            youngest_runs={
                f"{format_task_id(run.task)}#{run.number}": now - run.started_at
                for run in youngest[:MAX_LOGGED_RUNS]
            },
        )

    def _handle_unreachable(self, reason: str) -> None:
        if self._id not in self._scheduler.state.upstreams:
            # The upstream was removed.
            return
        now = boot_seconds()
        self._scheduler.renewal_failed(self._id, now)
        if self._is_reachable:
            self._is_reachable = False
            self._log_lost(reason, now)
        if self._scheduler.can_remove_upstream(self._id, now):
            self._scheduler.remove_lost_upstream(self._id, "gone", now)
        self._on_report()
