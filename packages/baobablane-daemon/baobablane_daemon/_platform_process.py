"""Run an entry instance on the users' platform until a stop signal."""

import asyncio
import gc
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import uvicorn
from baobablane_platform import (
    CallerActions,
    ProcessSettings,
    StoreClient,
    make_platform_app,
    read_process_settings,
)
from prometheus_client import make_asgi_app
from starlette.types import ASGIApp

from ._connection_limit import ConnectionLimit, derive_limit
from ._serving import make_server, wait_for_stop
from .decision_log import DecisionLog, guard_standard_error
from .jobs import (
    JobActions,
    JobWriter,
    Views,
    boot_seconds,
    make_holder,
    register_peer,
    register_state_reader,
    unregister_peer,
)
from .owner import (
    LEAVE_TIMEOUT_SECONDS,
    Candidacy,
    Owner,
    Ownership,
    Succession,
    has_wide_link,
    is_large,
    keep_until_succeeded,
    open_link,
)

GC_THRESHOLD_ALLOCATIONS = 20_000
# Of the connections that may be open, so many stay open after a response.
KEPT_CONNECTIONS_SHARE = 0.8
# The balancer routes elsewhere after two failed checks of one second each.
BALANCER_DETECTION_SECONDS = 2.3
# Without an owner, a claim is sent for so long. The end of the ownership is announced
# within the rest of that time.
KEEP_OWNERSHIP_SECONDS = BALANCER_DETECTION_SECONDS - LEAVE_TIMEOUT_SECONDS
# Time within the platform's stop grace period for the servers to finish the requests
# that they have already read.
FINISH_TIMEOUT_SECONDS = 2.0
# A process that has announced the end of the ownership ends within this time.
END_SECONDS = 0.5


async def run_on_platform(path: Path) -> None:
    """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
    settings = read_process_settings(path)
    log = DecisionLog(settings.instance)
    guard_standard_error(log.metrics)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: _log_settings_change(path, settings, log)
    )
    # Objects created during start-up live as long as the process, so the garbage
    # collector need not scan them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    await serve_on_platform(settings, log, stop)


async def serve_on_platform(
    settings: ProcessSettings, log: DecisionLog, stop: asyncio.Event
) -> None:
    """Serve until `stop` is set, then finish the requests in flight."""
    store = StoreClient(settings.store_address, settings.link_mbit)
    views = Views(store, log, follows_progress=has_wide_link(settings))
    job_writer = JobWriter(store)
    views.on_job_read = job_writer.confirm_stored
    holder = make_holder(settings.instance, time.time_ns())
    succession = _make_succession(settings, holder, views, job_writer, log)
    candidacy = Candidacy(
        holder,
        is_large(settings),
        lambda: views.owner_heartbeat,
        views.state_view.age,
        boot_seconds(),
        succession.line,
        succession.suspicion,
    )
    ownership = Ownership(store, views, log, holder, is_large(settings), candidacy)
    actions = JobActions(settings, views, job_writer, log)
    app = make_platform_app(
        CallerActions(
            actions.is_ready,
            actions.configuration,
            actions.authorize,
            actions.submit,
            actions.state,
            actions.cancel,
            actions.pending_count,
            actions.report_error,
            actions.reject_body,
        )
    )
    addresses = {settings.callers_address, settings.ready_address}

    def is_leaving() -> bool:
        # The balancer routes new connections elsewhere, but open ones stay.
        return not actions.is_ready()

    limit = derive_limit(settings.memory_mb, settings.descriptors)
    servers = [
        _make_server(app, address, is_leaving, limit, actions.max_head_bytes)
        for address in sorted(addresses)
    ]
    if settings.metrics_address:
        metrics = make_asgi_app(registry=log.metrics.registry)
        servers.append(
            _make_server(
                metrics,
                settings.metrics_address,
                is_leaving,
                limit,
                actions.max_head_bytes,
            )
        )
    loop = asyncio.get_running_loop()
    ownership_task = loop.create_task(ownership.run())
    background_tasks = [
        loop.create_task(coroutine)
        for coroutine in (
            log.run(),
            views.run(),
            job_writer.run(),
            succession.run(),
            _run_owner(store, views, ownership, settings, log, succession),
        )
    ]
    server_tasks = [loop.create_task(server.serve()) for server in servers]
    tasks = [ownership_task, *background_tasks, *server_tasks]
    # It ends by itself, and none of the tasks above may.
    registration = loop.create_task(
        register_state_reader(settings.instance, views, job_writer, log)
    )
    log.info("started", zone=settings.zone, callers=settings.callers_address)
    try:
        await wait_for_stop(stop, tasks)
        log.info("stopping")
        actions.is_stopping = True
        closing = loop.create_task(_close_servers(servers, server_tasks))
        tasks.append(closing)
        if succession.is_registered:
            unregister = unregister_peer(settings.instance, views, job_writer, log)
            tasks.append(loop.create_task(unregister))
            await keep_until_succeeded(
                ownership,
                lambda: bool(views.peer_by_instance.keys() - {settings.instance}),
                KEEP_OWNERSHIP_SECONDS,
                _owner_seconds(settings, succession),
            )
        ownership_task.cancel()
        ownership.stop()
        # The owner announces its end meanwhile.
        await asyncio.sleep(LEAVE_TIMEOUT_SECONDS)
        await closing
    finally:
        for task in (registration, *tasks):
            task.cancel()
        await asyncio.gather(registration, *tasks, return_exceptions=True)
        await store.close()
        log.info("stopped")
        log.flush()


async def _close_servers(
    servers: list[uvicorn.Server], server_tasks: list["asyncio.Task[None]"]
) -> None:
    """Finish the requests in flight once callers are routed elsewhere."""
    await asyncio.sleep(BALANCER_DETECTION_SECONDS)
    for server in servers:
        server.should_exit = True
    await asyncio.wait(server_tasks, timeout=FINISH_TIMEOUT_SECONDS)


def _owner_seconds(settings: ProcessSettings, succession: Succession) -> float:
    """Return for how long a stopping owner waits for one that can succeed it."""
    if not succession.has_seen_others:
        # It is back the sooner, and nobody else can be.
        return KEEP_OWNERSHIP_SECONDS
    grace_seconds = settings.limits.stop_grace_seconds
    return grace_seconds - LEAVE_TIMEOUT_SECONDS - END_SECONDS


def _make_succession(
    settings: ProcessSettings,
    holder: str,
    views: Views,
    job_writer: JobWriter,
    log: DecisionLog,
) -> Succession:
    address = settings.feed_address if is_large(settings) else ""
    return Succession(
        partial(open_link, address, log) if address else None,
        partial(register_peer, holder, address, views, job_writer, log),
        settings.instance,
        views,
        log,
    )


async def _run_owner(
    store: StoreClient,
    views: Views,
    ownership: Ownership,
    settings: ProcessSettings,
    log: DecisionLog,
    succession: Succession,
) -> None:
    while True:
        changed = ownership.changed
        epoch = ownership.epoch
        if epoch is not None:
            try:
                send = succession.send
                await Owner(store, views, ownership, log, settings, epoch, send).run()
            except Exception as error:
                # Callers are still served, and another instance becomes the owner.
                log.error("owner-failed", error, epoch=epoch)
                ownership.end_after_error(epoch)
        else:
            await changed.wait()


def _log_settings_change(
    path: Path, settings: ProcessSettings, log: DecisionLog
) -> None:
    changed = read_process_settings(path) != settings
    # The new settings aren't applied: addresses and limits are fixed at start-up.
    log.info("settings-read-again", changed=changed)


def _make_server(
    app: ASGIApp,
    address: str,
    is_leaving: Callable[[], bool],
    limit: ConnectionLimit,
    max_head_bytes: Callable[[], int],
) -> uvicorn.Server:
    host, _, port = address.rpartition(":")
    return make_server(
        app,
        host,
        int(port),
        FINISH_TIMEOUT_SECONDS,
        is_leaving,
        max_connections=int(limit.max_open * KEPT_CONNECTIONS_SHARE),
        limit=limit,
        max_head_bytes=max_head_bytes,
    )
