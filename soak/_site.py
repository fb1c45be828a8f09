"""Run the stand-in platform, its links and the entry instances."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from typing import Self

from baobablane_standin.platform import (
    API_KEY,
    PlatformStandin,
    StandinSettings,
    StandinUpstream,
)

from ._client_finder import make_client_finder
from ._entry_process import PORTS_PER_ENTRY, EntryProcess, find_free_ports
from ._history import History
from ._link_proxy import LinkProxy
from ._plan import ENTRIES, UPSTREAMS

# One entry instance reads states instead of all progress, as its link is narrow.
LINK_MBIT_BY_ENTRY = {"entry-0": 1000.0, "entry-1": 1000.0, "entry-2": 20.0}


class Site:
    """Own everything that runs in a soak; use as an async context manager."""

    def __init__(self, folder: Path, history: History) -> None:
        """Start nothing yet."""
        self.platform = PlatformStandin(StandinSettings(len(UPSTREAMS)))
        self.links: dict[str, LinkProxy] = {}
        ports = find_free_ports(PORTS_PER_ENTRY * len(ENTRIES))
        self.processes = {
            name: EntryProcess(
                name,
                folder,
                LINK_MBIT_BY_ENTRY[name],
                ports[number * PORTS_PER_ENTRY :][:PORTS_PER_ENTRY],
            )
            for number, name in enumerate(ENTRIES)
        }
        self.upstreams: dict[str, StandinUpstream] = {}
        # Upstreams whose connections are left open at their next crash.
        self.silent: set[str] = set()
        self._history = history
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start the platform, the links and the processes."""
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all that was started."""
        await self._stack.aclose()

    def caller_addresses(self) -> list[str]:
        """Return the addresses at which callers reach the entry instances."""
        return [self.links[f"callers/{name}"].address for name in ENTRIES]

    def end_due_runs(self) -> None:
        """Record the runs that have ended by now, though no order has asked."""
        for upstream in self.upstreams.values():
            if not upstream.is_down:
                upstream.end_due_runs()

    async def _start(self) -> None:
        await self._stack.enter_async_context(self.platform)
        find_client = make_client_finder(self._pids)
        self.platform.set_maintenance_listener(self._record_maintenance)
        for name, upstream in zip(UPSTREAMS, self.platform.upstreams, strict=True):
            self.upstreams[name] = upstream
            link = await self._add_link(
                f"upstream/{name}", upstream.address, find_client
            )
            upstream.address = link.address
            upstream.on_event = self._make_listener(name)
            upstream.on_return = self._make_return(name, upstream.on_return)
            self.platform.register_upstream(upstream)
        self.platform.write_config(2, [API_KEY, "key-0"])
        for name, process in self.processes.items():
            store = await self._add_link(f"store/{name}", self.platform.address)
            instances = await self._add_link(f"list/{name}", self.platform.address)
            await self._add_link(f"callers/{name}", process.address)
            process.write_settings(store.address, instances.address)
            process.on_start = partial(
                self._history.record, "process-start", entry=name
            )
            task = asyncio.ensure_future(process.run())
            self._stack.push_async_callback(_cancel, task)

    def _pids(self) -> dict[str, int]:
        return {
            name: process.pid
            for name, process in self.processes.items()
            if process.pid is not None
        }

    async def _add_link(
        self,
        name: str,
        target: str,
        find_client: Callable[[int, int], str] = lambda port, server_port: "",
    ) -> LinkProxy:
        link = self.links[name] = LinkProxy(target, find_client)
        await link.start()
        self._stack.push_async_callback(link.close)
        return link

    def _make_listener(self, name: str) -> Callable[[str, Mapping[str, object]], None]:
        def record(event: str, fields: Mapping[str, object]) -> None:
            if event == "start":
                # What has ended elsewhere by now is recorded before the start.
                for other in self.upstreams.values():
                    if other is not self.upstreams[name]:
                        other.end_due_runs()
            self._history.record(event, upstream=name, **fields)
            if event == "crash":
                link = self.links[f"upstream/{name}"]
                link.go_dark() if name in self.silent else link.reset()
                self.silent.discard(name)

        return record

    def _make_return(
        self, name: str, register: Callable[[str], None]
    ) -> Callable[[str], None]:
        def return_from_crash(previous_id: str) -> None:
            self.links[f"upstream/{name}"].return_from_dark()
            upstream = self.upstreams[name]
            upstream.keeps_id = False
            self._history.record("return", upstream=name, id=upstream.id)
            register(previous_id)

        return return_from_crash

    def _record_maintenance(self, instance: str, wave: int, holder: str) -> None:
        self._history.record("upkeep", instance=instance, wave=wave, holder=holder)


async def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
