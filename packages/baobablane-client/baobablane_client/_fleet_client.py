"""Read the configuration, publish changes and query entry instances."""

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

from ._console import print_progress

T = TypeVar("T")
LOG_VARIABLE = "BAOBAB_LOG"
TOKEN_VARIABLE = "BAOBAB_TOKEN"
DEFAULT_LOG_URL = "http://127.0.0.1:7000"
READ_WAIT_SECONDS = 1.0
PUBLISH_ATTEMPTS = 10
POLL_SECONDS = 0.1
QUERY_TIMEOUT_SECONDS = 2.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class MemberResponse:
    """Store the response of an entry instance, or why there is none.

    `content` is `{"answer": DOCUMENT}` with the decoded JSON document, or None if the
    query failed; `detail` then gives the HTTP status or the type of the error.
    """

    member: Member
    content: dict[str, object] | None
    detail: str = ""


class FleetClient:
    """Access the log and the entry instances for one command."""

    def __init__(self, log: LogClient, session: aiohttp.ClientSession) -> None:
        """Start without a configuration; `read_config` reads it."""
        self._log = log
        self._session = session
        self._config = CheckpointedFold(CONFIG_FOLD)

    @property
    def config_state(self) -> ConfigState:
        """Return the configuration that was last read, without a request."""
        return self._config.state

    async def read_config(self) -> ConfigState:
        """Read the log to its end and return the configuration in force."""
        await self._apply_new_records()
        return self._config.state

    async def publish(self, change: Change) -> ApplyResult:
        """Append a change, read it back and return the result of applying it.

        Raise ConflictError if the change was rejected, and LogUnavailableError if it
        was not read back after PUBLISH_ATTEMPTS appends; it may still take effect.
        """
        payload = encode_record(change)
        for attempt in range(PUBLISH_ATTEMPTS):
            try:
                await self._log.append(CONFIG_STREAM, [payload])
            except LogUnavailableError as error:
                # The append may still have taken effect, so the stream is read anyway.
                print_progress(f"append {attempt + 1}: {error.detail}; reading back")
            result = await self._find_result(change.id)
            if result is not None:
                return _require_accepted(result)
            await asyncio.sleep(POLL_SECONDS)
        raise LogUnavailableError(
            f"change {change.id} was not read back; it may still take effect"
        )

    async def read_members(self) -> list[Member]:
        """Read the membership stream and return the active entry instances."""
        fold = CheckpointedFold(MEMBERSHIP_FOLD)
        while True:
            page = await self._log.read(MEMBERSHIP_STREAM, fold.next_offset, 0.0)
            fold.skip_to(page.first_offset)
            fold.feed(page.records)
            if fold.next_offset >= page.next_offset:
                return list(fold.state.active_members())

    async def query_all(self, path: str = "/v1/status") -> list[MemberResponse]:
        """Query every active entry instance and return their responses."""
        members = await self.read_members()
        return list(await asyncio.gather(*(self._query(m, path) for m in members)))

    async def wait_in_force(self, revision: int, timeout_seconds: float) -> None:
        """Wait until a revision is in force at every entry instance.

        Print progress whenever it changes. Raise NotInForceError after
        `timeout_seconds`.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        last_text = ""
        while True:
            responses = await self.query_all()
            missing = [
                response.member.instance
                for response in responses
                if not _has_revision(response, revision)
            ]
            text = f"revision {revision} in force at {len(responses) - len(missing)}"
            text += f" of {len(responses)} entry instances"
            if text != last_text:
                print_progress(text)
                last_text = text
            if responses and not missing:
                return
            if loop.time() >= deadline:
                raise NotInForceError(f"not in force at: {', '.join(missing) or 'any'}")
            await asyncio.sleep(POLL_SECONDS)

    async def _query(self, member: Member, path: str) -> MemberResponse:
        address = member.address
        url = f"http://{address.host}:{address.operator_port}{path}"
        timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status != HTTP_OK:
                    return MemberResponse(member, None, f"HTTP {response.status}")
                document = json.loads(await response.read())
                return MemberResponse(member, {"answer": document})
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return MemberResponse(member, None, type(error).__name__)

    async def _apply_new_records(self) -> dict[str, ApplyResult]:
        results: dict[str, ApplyResult] = {}
        while True:
            start = self._config.next_offset
            page = await self._log.read(CONFIG_STREAM, start, 0.0)
            self._config.skip_to(page.first_offset)
            records: tuple[LogRecord, ...] = page.records
            for result in self._config.feed(records):
                if result.reason != "duplicate":
                    results[result.record_id] = result
            if self._config.next_offset >= page.next_offset:
                return results

    async def _find_result(self, record_id: str) -> ApplyResult | None:
        try:
            return (await self._apply_new_records()).get(record_id)
        except LogUnavailableError as error:
            print_progress(f"read: {error.detail}")
            return None


def _has_revision(response: MemberResponse, revision: int) -> bool:
    if response.content is None:
        return False
    report = response.content["answer"]
    return isinstance(report, dict) and int(report["revision"]) >= revision


def _require_accepted(result: ApplyResult) -> ApplyResult:
    if not result.accepted:
        raise ConflictError(f"not applied: {result.reason}")
    return result


def new_change_id() -> str:
    """Return a random identifier for a change."""
    return f"change-{token_hex(8)}"


def run_with_fleet(action: Callable[[FleetClient], Awaitable[T]], log_url: str) -> T:
    """Run an action with a FleetClient and return its result.

    If `log_url` is empty, the variable BAOBAB_LOG gives the URL of the log, and if
    that is unset, DEFAULT_LOG_URL.
    """

    async def run() -> T:
        log = LogClient(
            log_url or os.environ.get(LOG_VARIABLE, DEFAULT_LOG_URL), "baobab"
        )
        token = os.environ.get(TOKEN_VARIABLE, "")
        headers = {"Authorization": f"Bearer {token}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            try:
                return await action(FleetClient(log, session))
            finally:
                await log.close()

    return asyncio.run(run())
