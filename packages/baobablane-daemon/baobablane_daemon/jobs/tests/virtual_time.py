"""Run coroutines on an event loop whose time passes only while nothing is ready."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


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

    def __init__(self):
        """Start at second 1,000, long after the start of the machine."""
        self._now = 1000.0
        super().__init__(_InstantSelector(self.freeze))

    def time(self):
        """Return the virtual time in seconds."""
        return self._now

    def freeze(self, seconds):
        """Let time pass without running anything, as while a process is stopped."""
        self._now += seconds


def run_in_virtual_time(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on a new loop."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(coroutine)
