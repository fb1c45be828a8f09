"""Test what a process writes to its standard output."""

import json
import logging

import pytest

from baobablane_daemon.tasks import Decision, DecisionLog

PIPE_ATOMIC_BYTES = 4096


class RecordingStream:
    """Keep each write apart, as a pipe hands them on."""

    def __init__(self):
        """Start with no write."""
        self.writes = []

    def write(self, data):
        """Keep a write."""
        self.writes.append(bytes(data))
        return len(data)

    def flush(self):
        """Keep nothing back."""


@pytest.fixture
def stream():
    """Return a stream that keeps writes apart."""
    return RecordingStream()


@pytest.fixture
def log(stream):
    """Return a log that writes to the stream."""
    return DecisionLog("i-1", stream)


class TestFlush:
    """Test the writing of decisions."""

    def test_each_write_holds_whole_lines_that_a_pipe_takes_at_once(self, log, stream):
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

    def test_a_longer_line_is_written_whole(self, log, stream):
        log.write(Decision("job-refused", reason="x" * 2 * PIPE_ATOMIC_BYTES))
        log.flush()
        (data,) = stream.writes
        assert json.loads(data)["event"] == "job-refused"


class TestInfo:
    """Test the lines that are no decisions."""

    def test_event_and_instance_stand_in_the_line(self, log, stream):
        log.info("store-lost", topic="jobs")
        line = json.loads(stream.writes[-1])
        assert line["event"] == "store-lost"
        assert line["instance"] == "i-1"
        assert line["topic"] == "jobs"

    def test_decisions_come_before_it(self, log, stream):
        log.write(Decision("task-placed"))
        log.info("stopped")
        events = [json.loads(line)["event"] for line in stream.writes]
        assert events == ["task-placed", "stopped"]

    def test_libraries_keep_their_own_loggers(self, log, stream):
        logging.getLogger("aiohttp").warning("not a line of ours")
        assert stream.writes == []
