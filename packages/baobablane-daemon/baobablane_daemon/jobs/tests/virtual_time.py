"""Run coroutines on an event loop whose time passes only while nothing is ready."""

import asyncio
import selectors
from unittest import mock

# Long after the start of the machine.
DEFAULT_START_SECONDS = 1000.0
CLOCK = "baobablane_daemon.jobs._clock.time.clock_gettime"


class _InstantSelector(selectors.DefaultSelector):
    """Return at once, and report how long the loop wanted to wait."""

    def __init__(self, on_wait):
        super().__init__()
        self._on_wait = on_wait

    def select(self, timeout=None):
        """Return the ready files; without any, let the time pass."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing would ever end this wait"
            self._on_wait(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting for them."""

    def __init__(self, start_seconds):
        """Start at a time."""
        self._now = start_seconds
        super().__init__(_InstantSelector(self.freeze))

    def time(self):
        """Return the virtual time in seconds."""
        return self._now

    def freeze(self, seconds):
        """Let time pass without running anything, as while a process is stopped."""
        self._now += seconds


def run_in_virtual_time(coroutine, start_seconds=DEFAULT_START_SECONDS):
    """Run a coroutine to its end; `boot_seconds` shows the time of the loop."""
    loop = VirtualTimeLoop(start_seconds)
    with (
        mock.patch(CLOCK, lambda clock_id: loop.time()),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(coroutine)
