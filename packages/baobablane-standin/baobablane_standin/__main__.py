"""Run one stand-in process: `log`, `instances` or `executors`."""

import argparse
import asyncio

from starlette.types import ASGIApp

from ._serve import serve_all
from .executor import Executor
from .instance_list import InstanceList
from .log_server import LogServer

DEFAULT_RETENTION_SECONDS = 86_400.0


def main() -> None:
    """Serve the kind of stand-in given on the command line."""
    parser = argparse.ArgumentParser(prog="baobablane_standin")
    parser.add_argument("kind", choices=["log", "instances", "executors"])
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True, help="first port")
    parser.add_argument("--count", type=int, default=1, help="number of executors")
    parser.add_argument("--slots", type=int, default=8, help="slots per executor")
    parser.add_argument("--retention-seconds", type=float, default=None)
    parser.add_argument("--lag-seconds", type=float, default=0.5)
    options = parser.parse_args()
    asyncio.run(serve_all(_make_apps(options), options.host))


def _make_apps(options: argparse.Namespace) -> dict[int, ASGIApp]:
    if options.kind == "log":
        retention = options.retention_seconds or DEFAULT_RETENTION_SECONDS
        return {options.port: LogServer(retention).app}
    if options.kind == "instances":
        return {options.port: InstanceList(options.lag_seconds).app}
    ports = range(options.port, options.port + options.count)
    return {port: Executor(f"executor-{port}", options.slots) for port in ports}


if __name__ == "__main__":
    main()
