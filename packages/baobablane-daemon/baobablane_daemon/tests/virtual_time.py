"""Run coroutines in virtual time: whenever all of them wait, time passes at once."""

import asyncio
import selectors
from unittest import mock


class _InstantSelector(selectors.DefaultSelector):
    """Report no event and advance the time of the loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Advance by the timeout, and return what is ready without waiting."""
        if timeout:
            self.now += timeout
        return super().select(0)


def run_in_virtual_time(coroutine):
    """Run a coroutine to its end; `boot_seconds` and the loop show virtual time."""
    selector = _InstantSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    clock = "baobablane_daemon.jobs._clock.time.clock_gettime"
    with mock.patch(clock, lambda clock_id: selector.now):
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.close()
