"""Play a plan against the real processes."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from baobablane_standin.platform import extra_path_prefix

from ._allowance_check import AllowanceCheck
from ._answer_check import AnswerCheck
from ._border_check import BorderCheck
from ._breach import Breach
from ._callers import CALL_TIMEOUT_SECONDS, Callers
from ._count_check import find_miscounts
from ._event import Event
from ._faults import Faults
from ._history import History
from ._lasting_check import LastingCheck
from ._outcome import Outcome
from ._plan import ENTRIES, Plan
from ._run_check import RunCheck
from ._site import Site
from ._waiting_check import WaitingCheck

# Far longer than any recovery takes, so only a hang reaches it.
HANG_SECONDS = 180.0
CONDITION_SECONDS = 0.1
TICK_SECONDS = 0.05


class Soak:
    """Play one plan, wait for the recovery, and collect what was broken."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Keep the events and the logs in `folder`."""
        self._plan = plan
        self._folder = folder
        jobs_by_id = {job.id: job for job in plan.jobs}
        self._runs = RunCheck(jobs_by_id)
        self._answers = AnswerCheck(jobs_by_id)
        self._lasting = LastingCheck(jobs_by_id)
        self.history = History(
            folder / "events.jsonl",
            [
                self._runs,
                self._answers,
                AllowanceCheck(jobs_by_id),
                BorderCheck(),
                self._lasting,
                WaitingCheck(jobs_by_id),
            ],
        )
        self._background: list[asyncio.Task[None]] = []
        self._last_fault_at = 0.0
        # Errors of the soak itself, by which its verdict is worth nothing.
        self._errors: list[str] = []

    async def run(self) -> Outcome:
        """Play the plan and return the outcome."""
        began_at = time.monotonic()
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self._errors.append(str(context))
        )
        async with AsyncExitStack() as stack:
            stack.callback(self.history.close)
            site = await stack.enter_async_context(Site(self._folder, self.history))
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
            connector = aiohttp.TCPConnector(limit=0)
            session = await stack.enter_async_context(
                aiohttp.ClientSession(timeout=timeout, connector=connector)
            )
            stack.push_async_callback(self._stop_background)
            callers = Callers(session, site.caller_addresses(), self.history)
            await self._wait("ready", lambda: self._are_ready(callers))
            faults = Faults(site, self.history)
            self._play(callers, faults, site)
            await asyncio.gather(*self._background[: len(self._plan.faults)])
            await self._stay_calm()
            await self._recover(callers, faults, site)
            self._raise_errors()
        return Outcome(
            self._plan.seed,
            time.monotonic() - began_at,
            len(self._answers.accepted_at),
            sum(event.name == "start" for event in self.history.events),
            dict(faults.injected),
            self.history.breaches,
            self._plan.play,
            str(self._lasting.longest() or "none"),
        )

    def _play(self, callers: Callers, faults: Faults, site: Site) -> None:
        self.history.restart_clock()
        self.history.on_event = lambda event: self._follow(event, faults)
        for fault in self._plan.faults:
            self._background.append(asyncio.ensure_future(faults.play(fault)))
        for job in self._plan.jobs:
            self._background.append(asyncio.ensure_future(callers.follow(job)))
        trying = callers.try_keys_and_queues(
            lambda: faults.withdrawn_keys[-2:],
            lambda: [extra_path_prefix(n) for n in range(faults.queue_count)][-2:],
        )
        self._background.append(asyncio.ensure_future(trying))
        self._background.append(asyncio.ensure_future(self._tick(site)))

    def _follow(self, event: Event, faults: Faults) -> None:
        """Play the faults that follow from an event."""
        if event.name == "fault":
            self._last_fault_at = event.at
        if self._plan.chase is not None:
            for fault in self._plan.chase.react(event, faults.injected):
                self._background.append(asyncio.ensure_future(faults.play(fault)))

    async def _tick(self, site: Site) -> None:
        while True:
            site.end_due_runs()
            self.history.tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _stay_calm(self) -> None:
        # Each fault that follows from a start begins the wait anew.
        while self.history.now() < self._last_fault_at + self._plan.calm_seconds:
            await asyncio.sleep(CONDITION_SECONDS)

    async def _recover(self, callers: Callers, faults: Faults, site: Site) -> None:
        self.history.record("faults-over")
        serving = [job for job in self._plan.jobs if job.allowance]
        await self._wait("ready again", lambda: self._are_ready(callers))
        for job in self._plan.jobs:
            await self._wait(
                f"job {job.id} ({job.kind}) ends or runs", self._make_end(job.id)
            )
        for wave in faults.waves:
            await self._wait(f"wave {wave} is complete", _make_wave(site, wave))
        accepted = [job for job in serving if job.id in self._answers.accepted_at]
        await asyncio.gather(*(callers.cancel(job) for job in accepted))
        for job in accepted:
            await self._wait(f"job {job.id} is stopped", self._make_stop(job.id))
        for name, process in site.processes.items():
            for status in process.unexpected_ends:
                detail = f"{name} ended by itself with status {status}"
                self.history.add(Breach("no-end", self.history.now(), detail, name))
        for breach in find_miscounts(self._folder, self.history.now()):
            self.history.add(breach)

    async def _wait(self, what: str, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition holds, or take it for a broken promise."""
        if any(breach.promise == "recovers" for breach in self.history.breaches):
            return
        try:
            async with asyncio.timeout(HANG_SECONDS):
                while not await condition():
                    await asyncio.sleep(CONDITION_SECONDS)
        except TimeoutError:
            subject = what.split()[1] if what.startswith("job ") else what
            detail = f"not after {HANG_SECONDS} s: {what}"
            at = self.history.now()
            self.history.add(Breach("recovers", at, detail, subject))

    async def _are_ready(self, callers: Callers) -> bool:
        ready = [await callers.is_ready(number) for number in range(len(ENTRIES))]
        return all(ready)

    def _make_end(self, job_id: str) -> Callable[[], Awaitable[bool]]:
        job = next(job for job in self._plan.jobs if job.id == job_id)

        async def has_ended() -> bool:
            if job_id not in self._answers.accepted_at:
                return False
            if job.allowance:
                return self._runs.running_tasks(job_id) == job.task_count
            return job_id in self._answers.end_by_job

        return has_ended

    def _make_stop(self, job_id: str) -> Callable[[], Awaitable[bool]]:
        async def is_stopped() -> bool:
            return not self._runs.running_tasks(job_id)

        return is_stopped

    def _raise_errors(self) -> None:
        for task in self._background:
            if task.done():
                task.result()
        if self._errors:
            raise RuntimeError("\n".join(self._errors))

    async def _stop_background(self) -> None:
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)


def _make_wave(site: Site, wave: int) -> Callable[[], Awaitable[bool]]:
    async def is_complete() -> bool:
        newest = site.platform.store.partition("keyed.status", 0).newest
        _, value = newest.get(f"wave/{wave}", (0, b"{}"))
        return bool(json.loads(value).get("state") == "completed")

    return is_complete
