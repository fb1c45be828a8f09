"""Write standard error without waiting for its reader."""

import io
import sys

from ._bounded_line import MAX_LINE_BYTES
from ._line_output import LineOutput
from ._process_metrics import ProcessMetrics

# Of a line, without its newline.
MAX_PIECE_BYTES = MAX_LINE_BYTES - 1


def guard_standard_error(metrics: ProcessMetrics) -> None:
    """Let nothing that Python writes to standard error wait for its reader.

    The event loop, libraries and errors that nobody handles write there. Lines that are
    not taken are counted as unwritten.
    """
    output = LineOutput(sys.stderr.buffer, metrics.unwritten_lines)
    sys.stderr = _StandardError(output)


class _StandardError(io.TextIOBase):
    """Write text as lines that a pipe takes at once, so a long one becomes several."""

    encoding = "utf-8"

    def __init__(self, output: LineOutput) -> None:
        self._output = output
        # The beginning of a line whose end was not written yet.
        self._rest = ""

    def writable(self) -> bool:
        """Return that text can be written."""
        return True

    def write(self, text: str) -> int:
        """Write the lines that end in the text, and return its length."""
        *lines, self._rest = (self._rest + text).split("\n")
        for line in lines:
            self._write_line(line)
        return len(text)

    def flush(self) -> None:
        """End the line and write it, unless nothing of it was written."""
        if self._rest:
            line, self._rest = self._rest, ""
            self._write_line(line)

    def _write_line(self, line: str) -> None:
        content = line.encode(self.encoding, "backslashreplace")
        for start in range(0, max(len(content), 1), MAX_PIECE_BYTES):
            self._output.write(content[start : start + MAX_PIECE_BYTES] + b"\n")
