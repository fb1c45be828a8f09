"""Read all topics before an owner places tasks, for as long as the store answers."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from baobablane_platform import StoreError

from ..decision_log import DecisionLog
from ..jobs import TopicTail, boot_seconds

RETRY_SECONDS = 0.1
# A read without a response is given up after 0.9 s, and three in a row are no bad luck
# any more. While the store takes 90 times as long as usual, it answers sooner.
MAX_SILENCE_SECONDS = 3.0


async def read_topics(
    reads: Sequence[tuple[TopicTail, Callable[[], Awaitable[None]]]], log: DecisionLog
) -> bool:
    """Read topics to their ends; return whether none was silent for too long.

    Each one comes with the call that reads it, which is repeated until it succeeds.
    What arrives too slowly to be of use counts as silence (`TopicTail.silence`), but
    a large or slow response that goes on arriving doesn't.
    """
    began_at = boot_seconds()
    loop = asyncio.get_running_loop()
    tail_by_task = {loop.create_task(_read(read, log)): tail for tail, read in reads}
    pending = set(tail_by_task)
    try:
        while pending:
            silence = min(
                boot_seconds() - began_at,
                max(tail_by_task[task].silence() for task in pending),
            )
            if silence >= MAX_SILENCE_SECONDS:
                log.info(
                    "take-over-given-up",
                    seconds=round(boot_seconds() - began_at, 3),
                    topics=sorted(tail_by_task[task].topic for task in pending),
                )
                return False
            done, pending = await asyncio.wait(
                pending,
                timeout=MAX_SILENCE_SECONDS - silence,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                task.result()
        return True
    finally:
        for task in pending:
            task.cancel()


async def _read(read: Callable[[], Awaitable[None]], log: DecisionLog) -> None:
    while True:
        try:
            await read()
            return
        except StoreError as error:
            log.info("take-over-waits", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)
