"""Deny requests that the newest configuration doesn't allow."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from baobablane.errors import RejectedError, ResultCode
from baobablane_platform import CallerWait, StoreError

from ..decision_log import Decision, DecisionLog
from ._job_queries import QUERY_SHARE, catch_up_until
from ._paced_reads import PacedReads
from ._view_limits import RETRY_AFTER_SECONDS
from ._views import Views

T = TypeVar("T")

# Callers with unknown keys or paths may come at any rate. With this interval, they cost
# the store less than the other reads of a busy instance, and wait little longer.
READ_INTERVAL_SECONDS = 0.1
# Callers choose host and path, so the part of them that is logged is limited.
MAX_LOGGED_CHARACTERS = 200


class Denials:
    """Decide on requests again by what is stored, before they are denied.

    *Load pattern:* a change of queues or keys reaches instances one after the other,
    while callers ask all of them.
    """

    def __init__(self, views: Views, log: DecisionLog) -> None:
        """Prepare to read the operators' topic, which the views also follow."""
        self._views = views
        self._log = log
        self._reads = PacedReads(views.operator_tail, READ_INTERVAL_SECONDS)

    async def decide(
        self, find: Callable[[], T | RejectedError], target: str, wait: CallerWait
    ) -> T:
        """Return what the configuration allows a request, or raise RejectedError.

        `find` returns that by the configuration in force, or the error with which it
        denies the request. A denial counts only by a configuration that was the
        newest when the request arrived, or later. If that can't be told in time, the
        error is VIEW_NOT_CONFIRMED, after which callers try again. `target`, the host
        and path of the request, is logged.
        """
        found = find()
        if not isinstance(found, RejectedError):
            return found
        if not self._is_confirmed_since(wait.arrived_at):
            denied_version = self._version()
            await self._read_configuration(target, wait)
            found = find()
            if not isinstance(found, RejectedError):
                reason = f"{target[:MAX_LOGGED_CHARACTERS]}, version {self._version()}"
                detail = f"{reason} in place of {denied_version}"
                self._log.write(Decision("denial-withdrawn", reason=detail))
                return found
        self._log_denial(found.code, target)
        raise found

    def make_unsure(self, target: str, cause: str = "") -> RejectedError:
        """Log that the view is too old to decide on a request; return the error."""
        code, age = ResultCode.VIEW_NOT_CONFIRMED, self._views.operator_tail.age()
        self._log_denial(code, target, cause)
        detail = f"the configuration's view is {age:.1f} s old"
        return RejectedError(code, detail, RETRY_AFTER_SECONDS)

    def make_not_ready(self, target: str) -> RejectedError:
        """Log that there is no configuration yet; return the error."""
        self._log_denial(ResultCode.NOT_READY, target)
        return RejectedError(ResultCode.NOT_READY, "", RETRY_AFTER_SECONDS)

    def _log_denial(self, code: ResultCode, target: str, cause: str = "") -> None:
        reason = f"{target[:MAX_LOGGED_CHARACTERS]}, version {self._version()}"
        self._log.write(
            Decision(
                "request-denied",
                reason=f"{reason}, {cause}" if cause else reason,
                result=int(code),
                seconds=self._views.operator_tail.age(),
            )
        )

    def _is_confirmed_since(self, arrived_at: float) -> bool:
        """Return whether the view shows what was stored at a time of the event loop.

        Its age also counts the time in which the machine was suspended, which the event
        loop leaves out, so it is overestimated at most.
        """
        seconds = asyncio.get_running_loop().time() - arrived_at
        return self._views.operator_tail.age() <= seconds

    async def _read_configuration(self, target: str, wait: CallerWait) -> None:
        """Read the operators' topic to its end, or raise RejectedError."""
        try:
            await catch_up_until(self._reads, wait.until(QUERY_SHARE))
        except (StoreError, TimeoutError) as error:
            raise self.make_unsure(target, f"unread: {error!r}") from error

    def _version(self) -> int | None:
        configuration = self._views.configuration
        return configuration.version if configuration else None
