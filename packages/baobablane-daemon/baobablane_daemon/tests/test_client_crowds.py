"""Test an entry instance as a process beside clients that keep to no limit.

Each kind of client ended a process, or took the memory that its machine has.
"""

import itertools
import json
from contextlib import asynccontextmanager

import aiohttp
import pytest
from baobablane_standin.platform._deployment import API_KEY, PATH_PREFIX, QUEUE_HOST

from .client_crowd import Crowd, repeat, watch
from .test_platform_processes import run_processes

MIB = 1024 * 1024
# The machine of these tests; an ordinary one has 300 and 4,100.
MEMORY_MB = 128
DESCRIPTORS = 512
LIMITS = {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS}

CLIENTS = 30
# A client that sends without an end sends this much if nobody stops it.
ENDLESS_BYTES = 4 * MIB
# The same of what costs a parser much more than its bytes.
ENDLESS_FIELD_BYTES = MIB
# Clients that stop within bodies: more than the machine has descriptors and memory for.
BODY_CLIENTS = 600
BODY_BYTES = 250_000
# More than the machine has room for, but no more than it has memory for.
HELD_CLIENTS = 60
# The configuration allows 262,144 bytes.
BODY = b'{"spec":"1","steps":[{"count":1,"cpu":1000}]' + b" " * BODY_BYTES + b"}"
BODY_PIECE_BYTES = 4_000
REQUESTS_BYTES = MIB
# Clients that stop within heads of a size that the configuration allows.
HEAD_CLIENTS = 300
MAX_HEAD_BYTES = 16_384
# Far more than a request line is followed by in practice, and what nobody keeps.
EMPTY_LINE_BYTES = 8 * MIB

START = b"GET / HTTP/1.1\r\nHost: " + QUEUE_HOST.encode() + b"\r\n"
CHUNKED = (
    b"POST / HTTP/1.1\r\nHost: "
    + QUEUE_HOST.encode()
    + b"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n \r\n0\r\n"
)
WHOLE_GET = START + b"\r\n"
HEADS = {
    "value": (START + b"a: ", b"x" * 1024, ENDLESS_BYTES),
    "name": (START, b"x" * 1024, ENDLESS_BYTES),
    "target": (b"GET /", b"x" * 1024, ENDLESS_BYTES),
    "fields": (START, b"name: value\r\n", ENDLESS_FIELD_BYTES),
    "fields-of-two-bytes": (START, b"a:\r\n", ENDLESS_FIELD_BYTES),
}
TRAILERS = {
    "value": (CHUNKED + b"a: ", b"x" * 1024, ENDLESS_BYTES),
    "fields": (CHUNKED, b"a: b\r\n", ENDLESS_FIELD_BYTES),
}
# Of the protocol that ZeroMQ speaks (ZMTP 3.0), and the head of a message of 8 GiB.
ZMTP_GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
ZMTP_LARGE_MESSAGE = ZMTP_GREETING + b"\x06" + (8 << 30).to_bytes(8, "big")
EMPTY_LINES = {"crlf": b"\r\n", "lf": b"\n"}


def job_id(number):
    """Return the id of a crowd's job."""
    return f"{0xC000 + number:016x}"


def post_head(number, size):
    """Return the head of a request with a body of a size."""
    return (
        f"POST {PATH_PREFIX}{job_id(number)} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
        f"Authorization: Bearer {API_KEY}\r\nBaobablane-Deadline-Ms: 60000\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


class Play:
    """Let a crowd act on an entry instance beside ordinary requests."""

    def __init__(self, deployment, entry, watched):
        """Start before the crowd comes."""
        self.deployment = deployment
        self.entry = entry
        self.watched = watched
        self._job_numbers = itertools.count(1)

    async def check_ordinary_job(self):
        """Check that an ordinary caller's job is accepted."""
        job = f"{next(self._job_numbers):016x}"

        async def is_accepted():
            try:
                return await self.deployment.submit(self.entry, job) == 200
            except aiohttp.ClientError:
                assert self.watched.is_alive()
                return False

        await self.deployment.wait_for(is_accepted)

    def check_bounds(self):
        """Check the process, and the peaks of its memory and descriptors."""
        assert self.watched.is_alive()
        assert self.watched.peak_bytes() <= MEMORY_MB * MIB
        assert self.watched.most_descriptors <= DESCRIPTORS

    async def run(self, address, count, pieces_of, reads=True):
        """Play a crowd, check everything beside and after it, and return its clients.

        It is played twice: what the first crowd took must be there for the second one.
        """
        for turn in range(2):
            crowd = Crowd(address)
            numbers = range(turn * count, (turn + 1) * count)
            try:
                await crowd.play(numbers, pieces_of, reads)
                self.check_bounds()
                await self.check_ordinary_job()
            finally:
                crowd.close()
            await self.check_ordinary_job()
            self.check_bounds()
        return crowd.clients

    async def run_endless(self, address, head, part, size):
        """Play a crowd that repeats a part, and check that it is cut short."""
        clients = await self.run(address, CLIENTS, lambda _: repeat(head, part, size))
        assert not any(client.has_sent_all for client in clients)


@asynccontextmanager
async def run_play(folder):
    """Run an entry instance with little memory and few descriptors."""
    async with (
        run_processes(folder, 1, LIMITS) as (deployment, (entry,)),
        watch(entry.process) as watched,
    ):
        yield Play(deployment, entry, watched)


class TestHeads:
    """Test heads without an end."""

    @pytest.mark.parametrize("kind", HEADS)
    async def test_callers_port(self, kind, tmp_path):
        async with run_play(tmp_path) as play:
            await play.run_endless(play.entry.address, *HEADS[kind])

    async def test_stopped_short_of_the_limit(self, tmp_path):
        """Guards against fields that take much more memory than their bytes."""
        fields = b"a:\r\n" * (MAX_HEAD_BYTES // 4 - len(START))
        async with run_play(tmp_path) as play:
            await play.run(play.entry.address, HEAD_CLIENTS, lambda _: [START + fields])

    async def test_metrics_port(self, tmp_path):
        async with run_play(tmp_path) as play:
            await play.run_endless(play.entry.metrics_address, *HEADS["value"])


class TestEmptyLines:
    """Test empty lines without an end, which no timer of a request covers."""

    @pytest.mark.parametrize("kind", EMPTY_LINES)
    async def test_before_the_first_request(self, kind, tmp_path):
        line = EMPTY_LINES[kind]
        async with run_play(tmp_path) as play:
            await play.run_endless(play.entry.address, line, line, EMPTY_LINE_BYTES)

    @pytest.mark.parametrize("kind", EMPTY_LINES)
    async def test_before_a_later_request(self, kind, tmp_path):
        line = EMPTY_LINES[kind]
        async with run_play(tmp_path) as play:
            await play.run_endless(
                play.entry.address, WHOLE_GET, line, EMPTY_LINE_BYTES
            )


class TestTrailers:
    """Test trailers without an end behind a chunked body."""

    @pytest.mark.parametrize("kind", TRAILERS)
    async def test_callers_port(self, kind, tmp_path):
        async with run_play(tmp_path) as play:
            await play.run_endless(play.entry.address, *TRAILERS[kind])

    async def test_metrics_port(self, tmp_path):
        async with run_play(tmp_path) as play:
            await play.run_endless(play.entry.metrics_address, *TRAILERS["fields"])


class TestUnreadResponses:
    """Test requests in a row of which nobody reads the responses."""

    async def test_callers_port(self, tmp_path):
        async with run_play(tmp_path) as play:
            await play.run(
                play.entry.address,
                CLIENTS,
                lambda _: repeat(b"", WHOLE_GET, REQUESTS_BYTES),
                reads=False,
            )

    async def test_metrics_port(self, tmp_path):
        async with run_play(tmp_path) as play:
            await play.run(
                play.entry.metrics_address,
                CLIENTS,
                lambda _: repeat(b"", WHOLE_GET, REQUESTS_BYTES),
                reads=False,
            )


class TestBodies:
    """Test many bodies of a size that the configuration allows, at once."""

    async def test_stopped_short(self, tmp_path):
        def pieces_of(number):
            return [post_head(number, len(BODY)) + BODY[:-1]]

        async with run_play(tmp_path) as play:
            await play.run(play.entry.address, BODY_CLIENTS, pieces_of)

    async def test_in_pieces(self, tmp_path):
        def pieces_of(number):
            starts = range(0, len(BODY) - BODY_PIECE_BYTES, BODY_PIECE_BYTES)
            pieces = (BODY[start : start + BODY_PIECE_BYTES] for start in starts)
            return itertools.chain([post_head(number, len(BODY))], pieces)

        async with run_play(tmp_path) as play:
            await play.run(play.entry.address, BODY_CLIENTS, pieces_of)

    async def test_job_of_a_rejected_body_does_not_exist(self, tmp_path):
        """Guards against a rejection of a job that is stored all the same."""
        async with run_play(tmp_path) as play:
            crowd = Crowd(play.entry.address)
            # One after the other, so that each has been read when it is rejected.
            for number in range(HELD_CLIENTS):
                pieces = [post_head(number, len(BODY)) + BODY[:-1]]
                await crowd.play([number], lambda _, pieces=pieces: pieces)

            async def is_rejected():
                return any(client.status for client in crowd.clients)

            await play.deployment.wait_for(is_rejected)
            for number, client in enumerate(crowd.clients):
                if client.status:
                    assert client.status == 503
                    path = PATH_PREFIX + job_id(number)
                    status, _ = await play.deployment.call(play.entry, "GET", path)
                    assert status == 410
            crowd.close()

    async def test_whole(self, tmp_path):
        """Guards against a rejection of a job that is stored all the same."""

        def pieces_of(number):
            return [post_head(number, len(BODY)) + BODY]

        async with run_play(tmp_path) as play:
            clients = await play.run(play.entry.address, BODY_CLIENTS, pieces_of)
            # Each crowd has ids of its own.
            for number, client in enumerate(clients, BODY_CLIENTS):
                if client.status in (429, 503):
                    path = PATH_PREFIX + job_id(number)
                    status, _ = await play.deployment.call(play.entry, "GET", path)
                    assert status == 410

    async def test_not_begun(self, tmp_path):
        """Guards against connections that count as answered and are never closed."""

        def pieces_of(number):
            return [post_head(number, len(BODY))]

        async with run_play(tmp_path) as play:
            await play.run(play.entry.address, BODY_CLIENTS, pieces_of)


class TestFeedPort:
    """Test the port at which other instances watch the owner."""

    async def open_feed(self, play):
        """Wait until the port is open, which is soon after the start."""

        async def is_open():
            crowd = Crowd(play.entry.feed_address)
            await crowd.play(range(1), lambda _: [])
            crowd.close()
            return bool(crowd.clients)

        await play.deployment.wait_for(is_open)

    async def test_messages_without_an_end(self, tmp_path):
        async with run_play(tmp_path) as play:
            await self.open_feed(play)
            await play.run(
                play.entry.feed_address,
                CLIENTS,
                lambda _: repeat(ZMTP_LARGE_MESSAGE, bytes(1024), ENDLESS_BYTES),
            )

    async def test_many_connections(self, tmp_path):
        async with run_play(tmp_path) as play:
            await self.open_feed(play)
            await play.run(
                play.entry.feed_address, BODY_CLIENTS, lambda _: [ZMTP_GREETING]
            )


class TestCalm:
    """Test single requests at the limits, which nothing here may refuse."""

    async def test_largest_body(self, tmp_path):
        size = 262_144
        body = BODY[:-1] + b" " * (size - len(BODY)) + b"}"
        async with run_play(tmp_path) as play:
            crowd = Crowd(play.entry.address)
            await crowd.play(range(1), lambda number: [post_head(number, size) + body])
            (client,) = crowd.clients

            async def is_answered():
                return client.status == 200

            await play.deployment.wait_for(is_answered)
            crowd.close()

    async def test_largest_head(self, tmp_path):
        head = (
            f"GET {PATH_PREFIX} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
            f"Authorization: Bearer {API_KEY}\r\n"
        ).encode()
        fields = b"a:\r\n" * ((MAX_HEAD_BYTES - len(head) - 2) // 4)
        async with run_play(tmp_path) as play:
            crowd = Crowd(play.entry.address)
            await crowd.play(range(1), lambda _: [head + fields + b"\r\n"])
            (client,) = crowd.clients

            async def is_answered():
                return client.status == 200

            await play.deployment.wait_for(is_answered)
            crowd.close()

    async def test_head_that_only_the_configuration_allows(self, tmp_path):
        limit_bytes = 40_000
        async with run_play(tmp_path) as play:
            store = play.deployment.platform.store
            _, value = store.partition("keyed.op", 0).newest["config"]
            configuration = json.loads(value)
            configuration["version"] += 1
            configuration["limits"] = {"maxHeaderBytes": limit_bytes}
            store.put("keyed.op", "config", json.dumps(configuration).encode())
            head = START + b"a: " + b"x" * (limit_bytes - 200) + b"\r\n\r\n"
            head = head.replace(b"GET / ", b"GET /baobablane/ready ")

            async def is_answered():
                crowd = Crowd(play.entry.address)
                await crowd.play(range(1), lambda _: [head])
                crowd.close()
                return crowd.clients[0].status == 200

            await play.deployment.wait_for(is_answered)

    async def test_requests_in_a_row_are_all_answered_in_order(self, tmp_path):
        count = 200
        async with run_play(tmp_path) as play:
            crowd = Crowd(play.entry.address)
            request = WHOLE_GET.replace(b"GET / ", b"GET /baobablane/ready ")
            await crowd.play(range(1), lambda _: [request * count])
            (client,) = crowd.clients

            async def is_answered():
                return client.received.count(b"HTTP/1.1 200 ") == count

            await play.deployment.wait_for(is_answered)
            crowd.close()
