"""Write whole lines to a stream without waiting for its reader."""

import os
import select
from typing import BinaryIO

from prometheus_client import Counter

from ._bounded_line import MAX_LINE_BYTES


class LineOutput:
    """Write lines, and count those that the stream takes no more.

    A pipe is writable while it has room for PIPE_BUF bytes, so a longer write, which
    might wait for its reader, is not made.
    """

    def __init__(self, stream: BinaryIO, unwritten_lines: Counter) -> None:
        """Write to a stream, which need not belong to a file."""
        self._stream = stream
        self._unwritten_lines = unwritten_lines
        self._descriptor: int | None = None
        self._poll = select.poll()
        try:
            self._descriptor = stream.fileno()
        except (AttributeError, OSError):
            return
        self._poll.register(self._descriptor, select.POLLOUT)

    def write(self, lines: bytes) -> None:
        """Write at most MAX_LINE_BYTES of whole lines, or count them as unwritten."""
        if not self._write_at_once(lines):
            self._unwritten_lines.inc(lines.count(b"\n"))

    def _write_at_once(self, lines: bytes) -> bool:
        """Return whether all lines were written."""
        if self._descriptor is None:
            self._stream.write(lines)
            self._stream.flush()
            return True
        if len(lines) > MAX_LINE_BYTES or not self._is_writable():
            return False
        try:
            # The stream's own buffer would keep what failed, and fail again.
            return os.write(self._descriptor, lines) == len(lines)
        except OSError:
            # There is no other place to log it.
            return False

    def _is_writable(self) -> bool:
        # A pipe without a reader has POLLERR besides.
        return [events for _, events in self._poll.poll(0)] == [select.POLLOUT]
