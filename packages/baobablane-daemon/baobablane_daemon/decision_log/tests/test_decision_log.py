"""Test the lines that a process logs to its standard output."""

import contextlib
import json
import logging
import os
import threading

import msgspec
import pytest

from baobablane_daemon.decision_log import Decision, DecisionLog

PIPE_ATOMIC_BYTES = 4096


class RecordingStream:
    """Record each write separately, as a pipe transfers them."""

    def __init__(self):
        """Start without writes."""
        self.writes = []

    def write(self, data):
        """Record a write."""
        self.writes.append(bytes(data))
        return len(data)

    def flush(self):
        """Do nothing, since writes are not buffered."""


@pytest.fixture
def stream():
    """Return a stream that records each write separately."""
    return RecordingStream()


@pytest.fixture
def log(stream):
    """Return a log that writes to the stream."""
    return DecisionLog("i-1", stream)


class TestFlush:
    """Guard against decisions that are split, lost or written twice."""

    def test_each_write_is_whole_lines_within_the_atomic_pipe_size(self, log, stream):
        for number in range(300):
            log.write(Decision("task-placed", request=f"job-{number}", reason="x" * 50))
        log.flush()
        assert len(stream.writes) > 1
        for data in stream.writes:
            assert len(data) <= PIPE_ATOMIC_BYTES
            assert data.endswith(b"\n")
            for line in data.splitlines():
                json.loads(line)

    def test_every_decision_is_written_once(self, log, stream):
        for number in range(300):
            log.write(Decision("task-placed", request=f"job-{number}"))
        log.flush()
        lines = b"".join(stream.writes).splitlines()
        written = [json.loads(line)["request"] for line in lines]
        assert written == [f"job-{number}" for number in range(300)]


class TestLongLines:
    """Guard against a line that a pipe doesn't take at once, so that the process waits.

    A pipe is writable while it has room for PIPE_ATOMIC_BYTES, and no more.
    """

    LONG_TEXT = "<" + "x" * 2 * PIPE_ATOMIC_BYTES + ">"

    def read_cut_line(self, stream):
        """Return the fields of the only line, which must say that it is cut."""
        (data,) = stream.writes
        assert len(data) <= PIPE_ATOMIC_BYTES
        assert data.endswith(b"\n")
        fields = json.loads(data)
        assert fields["line_bytes"] > PIPE_ATOMIC_BYTES
        return fields

    @pytest.mark.parametrize("character", ["x", "\u20ac", '"', "\0", "\U0001f600"])
    def test_decision_is_cut(self, log, stream, character):
        log.write(Decision("job-refused", "job-1", reason=2 * 4096 * character))
        log.flush()
        fields = self.read_cut_line(stream)
        assert (fields["event"], fields["request"]) == ("job-refused", "job-1")
        assert set(fields["reason"]) == {character, "\u2026"}

    def test_both_ends_of_a_text_are_kept(self, log, stream):
        """Guards against a traceback without the error that ends it."""
        log.info("request-failed", reason=self.LONG_TEXT)
        reason = self.read_cut_line(stream)["reason"]
        assert (reason[0], reason[-1]) == ("<", ">")

    def test_runs_beside_are_cut_to_the_first(self, log, stream):
        runs = tuple(f"job-{number}" for number in range(4096))
        log.write(Decision("upstream-crashed", upstream="u-1", beside=runs))
        log.flush()
        fields = self.read_cut_line(stream)
        assert fields["upstream"] == "u-1"
        assert fields["beside"][:2] == ["job-0", "job-1"]

    @pytest.mark.parametrize(
        "fields",
        [
            {f"field-{number}": number for number in range(2000)},
            {LONG_TEXT: 1},
            {"reason": {"detail": LONG_TEXT}},
            {"reason": "\ud800" * PIPE_ATOMIC_BYTES},
            {"reason": 10**4200},
        ],
        ids=["many-fields", "long-name", "nested", "surrogates", "long-number"],
    )
    def test_event_of_odd_fields_is_cut(self, log, stream, fields):
        log.info("record-skipped", **fields)
        assert self.read_cut_line(stream)["event"] == "record-skipped"

    def test_error_is_cut(self, log, stream):
        log.error("owner-failed", ValueError(self.LONG_TEXT))
        assert self.read_cut_line(stream)["event"] == "owner-failed"

    def test_warning_of_the_server_is_cut(self, log, stream):
        logging.getLogger("uvicorn.error").error(self.LONG_TEXT)
        assert self.read_cut_line(stream)["instance"] == "i-1"

    def test_line_of_the_largest_size_is_whole(self, log, stream):
        decision = Decision("job-refused", at=1.5)
        missing = PIPE_ATOMIC_BYTES - 1 - len(msgspec.json.encode(decision))
        reason = "x" * (missing - len(',"reason":""'))
        log.write(Decision("job-refused", reason=reason, at=1.5))
        log.flush()
        (data,) = stream.writes
        assert len(data) == PIPE_ATOMIC_BYTES
        assert json.loads(data)["reason"] == reason


class TestInfo:
    """Test the lines of events that are not decisions."""

    def test_line_has_event_instance_and_fields(self, log, stream):
        log.info("store-lost", topic="jobs")
        line = json.loads(stream.writes[-1])
        assert line["event"] == "store-lost"
        assert line["instance"] == "i-1"
        assert line["topic"] == "jobs"

    def test_pending_decisions_are_written_before_an_event(self, log, stream):
        log.write(Decision("task-placed"))
        log.info("stopped")
        events = [json.loads(line)["event"] for line in stream.writes]
        assert events == ["task-placed", "stopped"]

    def test_log_lines_of_libraries_are_not_captured(self, log, stream):
        logging.getLogger("aiohttp").warning("not a line of ours")
        assert stream.writes == []


class TestStalledReader:
    """Test a log whose reader takes nothing any more, or is gone.

    The process wrote to the full pipe and answered nobody, without a line that says so.
    """

    # Far longer than the writes take, so only a hang reaches it.
    HANG_TIMEOUT_SECONDS = 20.0
    # More than a pipe holds.
    LINE_COUNT = 2_000

    # More than a pipe takes at once.
    LONG_TEXT = "x" * 4 * PIPE_ATOMIC_BYTES

    def log_long_line(self, log):
        """Log an event that is too long for a pipe with little room."""
        log.info("request-failed", reason=self.LONG_TEXT)

    def test_long_line_for_a_pipe_with_little_room_stops_no_process(self):
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "wb")
        log = DecisionLog("i-1", stream)
        os.set_blocking(write_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write_end, bytes(PIPE_ATOMIC_BYTES))
        os.set_blocking(write_end, True)
        os.read(read_end, PIPE_ATOMIC_BYTES)
        thread = threading.Thread(target=self.log_long_line, args=(log,), daemon=True)
        thread.start()
        thread.join(self.HANG_TIMEOUT_SECONDS)
        is_blocked = thread.is_alive()
        # Ends a thread that is blocked.
        os.close(read_end)
        thread.join()
        with contextlib.suppress(BrokenPipeError):
            stream.close()
        assert not is_blocked

    def log_lines(self, log):
        """Log decisions and events."""
        for number in range(self.LINE_COUNT):
            log.write(Decision("task-placed", reason="x" * 200))
            log.info("store-lost", topic=str(number))

    def test_full_pipe_stops_no_process(self):
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "wb")
        log = DecisionLog("i-1", stream)
        thread = threading.Thread(target=self.log_lines, args=(log,), daemon=True)
        thread.start()
        thread.join(self.HANG_TIMEOUT_SECONDS)
        is_blocked = thread.is_alive()
        with os.fdopen(read_end, "rb") as reader:
            # Lets a thread that is blocked end.
            stream_closer = threading.Thread(
                target=lambda: (thread.join(), stream.close())
            )
            stream_closer.start()
            lines = reader.read().splitlines()
            stream_closer.join()
        assert not is_blocked
        assert all(json.loads(line) for line in lines)
        lost = log.metrics.unwritten_lines._value.get()
        assert len(lines) + lost == 2 * self.LINE_COUNT

    def test_closed_pipe_stops_no_process(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        with os.fdopen(write_end, "wb") as stream:
            log = DecisionLog("i-1", stream)
            self.log_lines(log)
        assert log.metrics.unwritten_lines._value.get() == 2 * self.LINE_COUNT


class TestFailedWrite:
    """Test a standard output that takes nothing, as on a device that is full."""

    LINE_COUNT = 10

    def test_lines_are_counted_and_no_error_is_raised(self):
        """Guards against an error of the log that ends the process's tasks."""
        with open("/dev/full", "wb") as stream:
            log = DecisionLog("i-1", stream)
            for number in range(self.LINE_COUNT):
                log.info("store-lost", topic=str(number))
        assert log.metrics.unwritten_lines._value.get() == self.LINE_COUNT
