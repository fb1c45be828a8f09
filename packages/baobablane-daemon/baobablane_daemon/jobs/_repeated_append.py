"""Send an append again when its response is overdue."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from baobablane_platform import (
    StoreError,
    StoreRejectedError,
    StoreUnknownOutcomeError,
)

from ._append_forecast import AppendForecast
from ._clock import boot_seconds

# Typical time until a stored record is read back.
READ_BACK_SECONDS = 0.15

_logger = logging.getLogger("baobablane.appends")


async def append_repeatedly(
    send: Callable[[float], Awaitable[object]],
    forecast: AppendForecast,
    seconds: float,
    max_attempts_at_once: int,
    is_open: Callable[[], bool] = lambda: True,
) -> float:
    """Append until an attempt is answered; return when that attempt was sent.

    `send` makes one attempt, given the seconds that are left for it. An append without
    a response is repeated, and either response counts. The first attempt is not given
    up for that: its outcome would stay unknown. Raise StoreRejectedError if every
    attempt was rejected, StoreUnknownOutcomeError if the append may be stored, or at
    once any other error of an attempt. Stop when `is_open` returns False, since the
    records were read back.
    """
    attempts: set[asyncio.Task[float]] = set()
    all_attempts: list[asyncio.Task[float]] = []
    first_sent_at = now = boot_seconds()
    give_up_at, repeat_at = now + seconds, now
    is_rejected = may_be_stored = False
    error: StoreError = StoreUnknownOutcomeError("no response in time")
    try:
        while now < give_up_at:
            if not attempts or (now >= repeat_at and not is_rejected):
                attempt = _start_attempt(send, forecast, give_up_at - now)
                attempts.add(attempt)
                all_attempts.append(attempt)
                repeat_at = now + forecast.repeat_delay(now, now - first_sent_at)
            can_repeat = len(attempts) < max_attempts_at_once and not is_rejected
            until = min(repeat_at, give_up_at) if can_repeat else give_up_at
            done, attempts = await asyncio.wait(
                attempts, timeout=until - now, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in done:
                try:
                    return attempt.result()
                except StoreRejectedError as rejection:
                    # In the queue of others, a repetition would be rejected as well.
                    error, is_rejected = rejection, not forecast.is_only_writer
                except StoreUnknownOutcomeError as unknown:
                    error, is_rejected, may_be_stored = unknown, False, True
            if not attempts and not may_be_stored:
                raise error
            if not attempts:
                # The records may be read back in the meantime.
                await asyncio.sleep(READ_BACK_SECONDS)
            if not is_open():
                return first_sent_at
            now = boot_seconds()
    finally:
        for attempt in attempts:
            attempt.cancel()
        _retrieve_errors(all_attempts)
    raise StoreUnknownOutcomeError(f"append has unknown outcome: {error}")


def _start_attempt(
    send: Callable[[float], Awaitable[object]], forecast: AppendForecast, seconds: float
) -> "asyncio.Task[float]":
    return asyncio.get_running_loop().create_task(_attempt(send, forecast, seconds))


def _retrieve_errors(attempts: list["asyncio.Task[float]"]) -> None:
    """Retrieve the errors of attempts that nobody waits for, and log the first one.

    An attempt may fail in the step in which another is answered, or as it is cancelled.
    """
    is_logged = False

    def retrieve(attempt: "asyncio.Task[float]") -> None:
        nonlocal is_logged
        error = None if attempt.cancelled() else attempt.exception()
        if error is not None and not is_logged:
            is_logged = True
            _logger.info("append-repetition-failed", extra={"reason": repr(error)})

    for attempt in attempts:
        attempt.add_done_callback(retrieve)


async def _attempt(
    send: Callable[[float], Awaitable[object]], forecast: AppendForecast, seconds: float
) -> float:
    sent_at = boot_seconds()
    number = forecast.start(sent_at)
    try:
        await send(seconds)
    except StoreUnknownOutcomeError:
        forecast.finish(number, False, boot_seconds())
        raise
    except asyncio.CancelledError:
        # Another attempt was answered, or nobody waits any more.
        forecast.give_up(number)
        raise
    except StoreError:
        forecast.give_up(number)
        raise
    except Exception as error:
        forecast.finish(number, False, boot_seconds())
        # Otherwise, the callers would wait for as long as they can.
        raise StoreUnknownOutcomeError(f"unexpected error: {error!r}") from error
    forecast.finish(number, True, boot_seconds())
    return sent_at
