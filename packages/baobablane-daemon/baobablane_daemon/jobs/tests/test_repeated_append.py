"""Test what becomes of attempts that nobody waits for any more.

Under lost writes, the processes printed a traceback for each, outside of the log.
"""

import asyncio
import gc
import logging

import pytest
from baobablane_platform import StoreFencedError, StoreUnknownOutcomeError

from baobablane_daemon.jobs._append_forecast import AppendForecast
from baobablane_daemon.jobs._repeated_append import append_repeatedly

from .virtual_time import run_in_virtual_time

ATTEMPTS = 5


@pytest.fixture
def lines():
    """Return a list that gets the lines that are logged."""
    handler = logging.Handler()
    found = []
    handler.emit = found.append
    logger = logging.getLogger("baobablane.appends")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    yield found
    logger.removeHandler(handler)
    logger.setLevel(level)


async def fail_when_cancelled(number):
    """Raise another error as the attempt is cancelled."""
    try:
        await asyncio.sleep(60.0)
    except asyncio.CancelledError:
        raise StoreUnknownOutcomeError("no response") from None


async def fail_with_the_last(number):
    """Fail in the step in which the last attempt is answered."""
    await asyncio.sleep(20.0 - asyncio.get_running_loop().time() % 10.0)
    raise StoreUnknownOutcomeError("no response")


def play(fail, last_error=None):
    """Append while only the last attempt is answered; return unhandled errors."""
    unhandled = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        forecast = AppendForecast(is_only_writer=True)
        count = 0

        async def send(seconds):
            nonlocal count
            count += 1
            if count < ATTEMPTS:
                await fail(count)
            await asyncio.sleep(20.0 - loop.time() % 10.0)
            if last_error is not None:
                raise last_error

        try:
            await append_repeatedly(send, forecast, 60.0, ATTEMPTS)
        finally:
            await asyncio.sleep(0.1)
            gc.collect()
            assert count == ATTEMPTS

    try:
        run_in_virtual_time(scenario())
    except StoreFencedError:
        assert last_error is not None
    gc.collect()
    return unhandled


@pytest.mark.parametrize("fail", [fail_when_cancelled, fail_with_the_last])
class TestUnusedAttempts:
    """Test attempts beside one that is answered."""

    @pytest.mark.parametrize("last_error", [None, StoreFencedError("fenced")])
    def test_each_error_is_handled(self, fail, last_error, lines):
        """Guards against tracebacks outside of the log, without a bound."""
        assert play(fail, last_error) == []
        assert len(lines) <= 1


class TestLog:
    """Test the line that is logged."""

    def test_reason_is_told_once(self, lines):
        """Guards against errors that are swallowed without a reason."""
        play(fail_when_cancelled)
        (line,) = lines
        assert line.getMessage() == "append-repetition-failed"
        assert "no response" in line.reason
