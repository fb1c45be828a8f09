"""Run a complete stand-in platform on loopback."""

import asyncio
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import uvicorn
from starlette.types import ASGIApp

from ._server import PlatformServer
from ._store import PlatformStore
from ._upstream import StandinUpstream

HOST = "127.0.0.1"
POOL = "pool-a"
API_KEY = "key-a"
QUEUE_HOST = "queues.example"
PATH_PREFIX = "/jobs/"


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Store the number of upstreams and their cores."""

    upstream_count: int = 2
    cores_per_upstream: int = 8


@dataclass(slots=True)
class PlatformStandin:
    """Run the servers of a stand-in platform; use as an async context manager."""

    settings: StandinSettings = field(default_factory=StandinSettings)
    store: PlatformStore = field(default_factory=PlatformStore)
    upstreams: list[StandinUpstream] = field(default_factory=list)
    address: str = ""
    _platform_server: PlatformServer | None = None
    _http_servers: list[uvicorn.Server] = field(default_factory=list)
    _serve_tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    async def __aenter__(self) -> "PlatformStandin":
        """Start all servers and write the first configuration."""
        self._platform_server = server = PlatformServer(self.store, POOL)
        self.address = await self._serve(server.app)
        for number in range(self.settings.upstream_count):
            upstream = StandinUpstream(
                f"u{number}", POOL, "", self.settings.cores_per_upstream
            )
            upstream.address = await self._serve(server.add_upstream(upstream))
            upstream.on_return = self._make_registrar(upstream)
            self.upstreams.append(upstream)
            self.register_upstream(upstream)
        self.write_config(1, [API_KEY])
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop all servers."""
        for server in self._http_servers:
            server.should_exit = True
        await asyncio.gather(*self._serve_tasks)

    def append_count(self) -> int:
        """Return the number of append requests that the store has received."""
        return self._platform_server.append_count if self._platform_server else 0

    def aborted_read_count(self) -> int:
        """Return how many responses of the store were not read to the end."""
        return self._platform_server.aborted_read_count if self._platform_server else 0

    def set_maintenance_listener(
        self, listener: Callable[[str, int, str], None]
    ) -> None:
        """Call `listener` with instance, wave and holder as maintenance begins."""
        if self._platform_server:
            self._platform_server.on_maintenance = listener

    def set_instance_state(self, state: str) -> None:
        """Set the state that the instance list shows for all instances."""
        if self._platform_server:
            self._platform_server.instance_state = state

    def register_upstream(self, upstream: StandinUpstream) -> None:
        """Write an upstream's registration to the store."""
        registration = json.dumps(upstream.registration(1)).encode()
        self.store.put("keyed.servers", upstream.id, registration)

    def _make_registrar(self, upstream: StandinUpstream) -> Callable[[str], None]:
        def register_again(previous_id: str) -> None:
            self.store.put("keyed.servers", previous_id, b"")
            self.register_upstream(upstream)

        return register_again

    def write_config(
        self, version: int, keys: list[str], extra_queue_count: int = 0
    ) -> None:
        """Write a configuration with one pool and one client account.

        It has one queue at PATH_PREFIX, and `extra_queue_count` more at the paths that
        `extra_path_prefix` returns.
        """
        routes = [_make_route("queue-a", PATH_PREFIX)]
        for number in range(extra_queue_count):
            routes.append(_make_route(f"extra-{number}", extra_path_prefix(number)))
        tenant = {"name": "account-a", "apiKeys": keys, "weight": 1, "cap": {}}
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": POOL}],
            "tenants": [tenant],
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def _serve(self, app: ASGIApp) -> str:
        # asyncio turns delays of small segments off only if the protocol is named.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.bind((HOST, 0))
        server = uvicorn.Server(
            uvicorn.Config(app, lifespan="off", log_level="warning", access_log=False)
        )
        server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]
        self._http_servers.append(server)
        loop = asyncio.get_running_loop()
        self._serve_tasks.append(loop.create_task(server.serve(sockets=[listener])))
        return f"{HOST}:{listener.getsockname()[1]}"


def extra_path_prefix(number: int) -> str:
    """Return the path prefix of an extra queue, which are numbered from 0."""
    return f"/extra-{number}/"


def _make_route(name: str, path_prefix: str) -> dict[str, object]:
    return {
        "name": name,
        "host": QUEUE_HOST,
        "pathPrefix": path_prefix,
        "service": POOL,
        "priority": 0,
        "maxAttempts": 2,
        "slackFactor": 2.0,
        "targetLatencyMs": 1000,
    }
