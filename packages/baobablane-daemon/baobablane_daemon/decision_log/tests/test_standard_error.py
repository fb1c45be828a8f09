"""Test what others than the decision log write to standard error."""

import asyncio
import os
import sys

import pytest

from baobablane_daemon.decision_log import ProcessMetrics, guard_standard_error

PIPE_ATOMIC_BYTES = 4096
# Far longer than the writes take, so only a hang reaches it.
HANG_TIMEOUT_SECONDS = 20.0
GUARDED_START = """
import logging, warnings
from baobablane_daemon.decision_log import ProcessMetrics, guard_standard_error
metrics = ProcessMetrics()
guard_standard_error(metrics)
"""


class TestStandardError:
    """Test the stream in the place of standard error."""

    def write(self, monkeypatch, text, **options):
        """Print a text to the guarded standard error and return what a pipe got."""
        read_end, write_end = os.pipe()
        os.set_blocking(read_end, False)
        with os.fdopen(read_end, "rb") as reader, os.fdopen(write_end, "w") as stream:
            monkeypatch.setattr(sys, "stderr", stream)
            guard_standard_error(ProcessMetrics())
            print(text, file=sys.stderr, **options)
            monkeypatch.undo()
            return reader.read()

    def test_lines_are_passed_on(self, monkeypatch):
        written = self.write(monkeypatch, "Traceback:\n\n  \u20ac")
        assert written == "Traceback:\n\n  \u20ac\n".encode()

    def test_line_without_an_end_is_passed_on_by_a_flush(self, monkeypatch):
        assert self.write(monkeypatch, "usage", end="", flush=True) == b"usage\n"

    def test_surrogates_raise_nothing(self, monkeypatch):
        assert self.write(monkeypatch, "path \ud800") == b"path \\ud800\n"

    def test_long_line_is_split(self, monkeypatch):
        """Guards against a write that a pipe doesn't take at once."""
        text = "x" * 2 * PIPE_ATOMIC_BYTES
        pieces = self.write(monkeypatch, text).decode().split("\n")
        assert "".join(pieces) == text
        assert max(len(piece) for piece in pieces) == PIPE_ATOMIC_BYTES - 1


class TestUnreadPipe:
    """Test processes whose standard error nobody reads.

    A warning of the event loop, or an error that nobody handles, stopped the process.
    """

    @pytest.mark.parametrize(
        "write",
        [
            "logging.getLogger('asyncio').error('x' * 300)",
            "logging.getLogger('aiohttp').warning('x' * 9_000)",
            "warnings.warn('x' * 9_000 + str(number))",
            "FailingEnd()",
        ],
        ids=["event-loop", "library", "warning", "unraisable"],
    )
    async def test_full_pipe_stops_no_process(self, write):
        code = f"""{GUARDED_START}
class FailingEnd:
    def __del__(self):
        raise ValueError("x" * 300)
for number in range(1_000):
    {write}
assert metrics.unwritten_lines._value.get() > 0
"""
        read_end, write_end = os.pipe()
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, stderr=write_end
            )
            try:
                async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
                    assert await process.wait() == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
        finally:
            os.close(read_end)
            os.close(write_end)
