"""Write whole lines to a stream without waiting for its reader."""

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
        self._poll: select.poll | None = None
        try:
            descriptor = stream.fileno()
        except (AttributeError, OSError):
            return
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, lines: bytes) -> None:
        """Write at most MAX_LINE_BYTES of whole lines, or count them as unwritten."""
        if len(lines) <= MAX_LINE_BYTES and self._is_writable():
            self._stream.write(lines)
            self._stream.flush()
        else:
            self._unwritten_lines.inc(lines.count(b"\n"))

    def _is_writable(self) -> bool:
        if self._poll is None:
            return True
        # A pipe without a reader has POLLERR besides.
        return [events for _, events in self._poll.poll(0)] == [select.POLLOUT]
