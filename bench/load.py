"""Send requests over raw connections for a limited time, and time the responses."""

import asyncio
import time
from dataclasses import dataclass

REQUEST_BODY = b'{"hello":1}'


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Store the counts and latencies of a load, with times in seconds."""

    succeeded: int
    failed: int
    seconds: float
    latencies: list[float]

    @property
    def per_second(self) -> float:
        """Return successful responses per second."""
        return self.succeeded / self.seconds

    def latency_quantile(self, fraction: float) -> float:
        """Return a quantile of the latencies, in seconds."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def make_request(path: str, key: str) -> bytes:
    """Return the bytes of one HTTP request."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(REQUEST_BODY)}\r\n\r\n"
    )
    return head.encode() + REQUEST_BODY


async def run_load(
    port: int, request: bytes, connections: int, seconds: float, rate: float = 0.0
) -> LoadResult:
    """Send requests for a time, at a rate per second or, with rate 0, back to back."""
    latencies: list[float] = []
    failed = 0
    started_at = time.perf_counter()
    ends_at = started_at + seconds

    async def client(number: int) -> None:
        nonlocal failed
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        interval_seconds = connections / rate if rate else 0.0
        due_at = started_at + interval_seconds * number / connections
        while due_at < ends_at and time.perf_counter() < ends_at:
            if rate:
                await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
            # At a given rate, the delay behind a late response counts as latency.
            measured_from = due_at if rate else time.perf_counter()
            due_at += interval_seconds
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            if head.startswith(b"HTTP/1.1 200"):
                latencies.append(time.perf_counter() - measured_from)
            else:
                failed += 1
        writer.close()

    await asyncio.gather(*(client(number) for number in range(connections)))
    return LoadResult(
        len(latencies), failed, time.perf_counter() - started_at, latencies
    )
