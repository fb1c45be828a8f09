"""Send a read again while its response is overdue."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")

# While the store is well, it answers within 0.02 s, and within 0.6 s while it takes
# 60 times as long.
REPEAT_SECONDS = 0.5
# A store that is slow for all gets no more reads for one.
MAX_READS_AT_ONCE = 3


async def read_repeatedly(
    read: Callable[[], Awaitable[T]], is_arriving: Callable[[], bool]
) -> T:
    """Return the first response to a read, which is repeated while none arrives.

    Load pattern: the store loses a part of all responses. A read that may take seconds
    is given up only after as long, and nothing is placed meanwhile. Raise an error of
    the last attempts if all fail.
    """
    pending: set[asyncio.Future[T]] = {asyncio.ensure_future(read())}
    count = 1
    try:
        while True:
            can_repeat = count < MAX_READS_AT_ONCE
            done, pending = await asyncio.wait(
                pending,
                timeout=REPEAT_SECONDS if can_repeat else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            errors = [attempt.exception() for attempt in done]
            for attempt, error in zip(done, errors, strict=True):
                if error is None or not pending and all(errors):
                    return attempt.result()
            if not done and can_repeat and not is_arriving():
                pending.add(asyncio.ensure_future(read()))
                count += 1
    finally:
        for attempt in pending:
            attempt.cancel()
