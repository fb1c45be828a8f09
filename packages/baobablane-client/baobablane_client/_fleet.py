"""Read the configuration, publish changes and ask entry instances."""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from secrets import token_hex
from typing import TypeVar

import aiohttp
from baobablane.config import (
    CONFIG_FOLD,
    ApplyResult,
    Change,
    ConfigState,
    encode_record,
)
from baobablane.errors import (
    ConflictError,
    LogUnavailableError,
    NotInForceError,
)
from baobablane.log import CheckpointedFold, LogRecord
from baobablane.membership import MEMBERSHIP_FOLD, Member
from baobablane_platform import CONFIG_STREAM, MEMBERSHIP_STREAM, LogClient

from ._console import progress

T = TypeVar("T")
LOG_VARIABLE = "BAOBAB_LOG"
TOKEN_VARIABLE = "BAOBAB_TOKEN"
DEFAULT_LOG_URL = "http://127.0.0.1:7000"
READ_WAIT_SECONDS = 1.0
PUBLISH_TRIES = 10
POLL_SECONDS = 0.1
ASK_TIMEOUT_SECONDS = 2.0
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class MemberReply:
    """Hold what an entry instance answered, or why it did not."""

    member: Member
    status: dict[str, object] | None
    detail: str = ""


class Fleet:
    """Hold the connections of one command."""

    def __init__(self, log: LogClient, session: aiohttp.ClientSession) -> None:
        """Read nothing yet."""
        self._log = log
        self._session = session
        self._config = CheckpointedFold(CONFIG_FOLD)

    @property
    def state(self) -> ConfigState:
        """Return the configuration as last read."""
        return self._config.state

    async def read_config(self) -> ConfigState:
        """Return the configuration in force, read to the end of the log."""
        await self._read_config()
        return self._config.state

    async def publish(self, change: Change) -> ApplyResult:
        """Append a change until it is read back, and return its verdict."""
        payload = encode_record(change)
        for attempt in range(PUBLISH_TRIES):
            try:
                await self._log.append(CONFIG_STREAM, [payload])
            except LogUnavailableError as error:
                # The append may have taken effect all the same: read it back.
                progress(f"append {attempt + 1}: {error.detail}; reading it back")
            verdict = await self._find_verdict(change.id)
            if verdict is not None:
                return _check(verdict)
            await asyncio.sleep(POLL_SECONDS)
        raise LogUnavailableError(
            f"change {change.id} was not read back; it may still take effect"
        )

    async def members(self) -> list[Member]:
        """Return the entry instances that the log lists as active."""
        fold = CheckpointedFold(MEMBERSHIP_FOLD)
        while True:
            page = await self._log.read(MEMBERSHIP_STREAM, fold.next_offset, 0.0)
            fold.skip_to(page.first_offset)
            fold.feed(page.records)
            if fold.next_offset >= page.next_offset:
                return list(fold.state.active_members())

    async def ask_all(self, path: str = "/v1/status") -> list[MemberReply]:
        """Return the answer of every active entry instance."""
        members = await self.members()
        return list(await asyncio.gather(*(self._ask(m, path) for m in members)))

    async def wait_in_force(self, revision: int, seconds: float) -> None:
        """Report where a revision is in force until it is everywhere."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + seconds
        told = ""
        while True:
            replies = await self.ask_all()
            missing = [r.member.instance for r in replies if not _has(r, revision)]
            text = f"revision {revision} in force at {len(replies) - len(missing)}"
            text += f" of {len(replies)} entry instances"
            if text != told:
                progress(text)
                told = text
            if replies and not missing:
                return
            if loop.time() >= give_up_at:
                raise NotInForceError(f"not in force at: {', '.join(missing) or 'any'}")
            await asyncio.sleep(POLL_SECONDS)

    async def _ask(self, member: Member, path: str) -> MemberReply:
        address = member.address
        url = f"http://{address.host}:{address.operator_port}{path}"
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status != STATUS_OK:
                    return MemberReply(member, None, f"HTTP {response.status}")
                answer = json.loads(await response.read())
                return MemberReply(member, {"answer": answer})
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return MemberReply(member, None, type(error).__name__)

    async def _read_config(self) -> dict[str, ApplyResult]:
        verdicts: dict[str, ApplyResult] = {}
        while True:
            start = self._config.next_offset
            page = await self._log.read(CONFIG_STREAM, start, 0.0)
            self._config.skip_to(page.first_offset)
            records: tuple[LogRecord, ...] = page.records
            for verdict in self._config.feed(records):
                if verdict.reason != "duplicate":
                    verdicts[verdict.record_id] = verdict
            if self._config.next_offset >= page.next_offset:
                return verdicts

    async def _find_verdict(self, record_id: str) -> ApplyResult | None:
        try:
            return (await self._read_config()).get(record_id)
        except LogUnavailableError as error:
            progress(f"read: {error.detail}")
            return None


def _has(reply: MemberReply, revision: int) -> bool:
    if reply.status is None:
        return False
    answer = reply.status["answer"]
    return isinstance(answer, dict) and int(answer["revision"]) >= revision


def _check(verdict: ApplyResult) -> ApplyResult:
    if not verdict.accepted:
        raise ConflictError(f"not applied: {verdict.reason}")
    return verdict


def new_change_id() -> str:
    """Return a name for a change that no other operator gives."""
    return f"change-{token_hex(8)}"


def with_fleet(action: Callable[[Fleet], Awaitable[T]], log_url: str) -> T:
    """Run an action with connections to the platform's log."""

    async def run() -> T:
        log = LogClient(
            log_url or os.environ.get(LOG_VARIABLE, DEFAULT_LOG_URL), "baobab"
        )
        token = os.environ.get(TOKEN_VARIABLE, "")
        headers = {"Authorization": f"Bearer {token}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            try:
                return await action(Fleet(log, session))
            finally:
                await log.close()

    return asyncio.run(run())
