"""Run an entry instance from a settings file until a stop signal."""

import asyncio
import gc
import signal

from baobablane_platform import (
    CONFIG_STREAM,
    DEFERRED_STREAM,
    JOURNAL_STREAM,
    MEMBERSHIP_STREAM,
    LogClient,
)

from ._connection_limit import ConnectionLimit
from ._serving import make_server, wait_for_stop
from .decision_log import DecisionLog, guard_standard_error
from .edge import MAX_BODY_BYTES, make_callers_app, make_operators_app
from .engine import (
    AtMostOnce,
    CallerService,
    DeferredJobs,
    Engine,
    PlannerTask,
    RequestRunner,
    Traffic,
)
from .settings import DaemonSettings
from .tasks import (
    InstanceListTask,
    LogReaderTask,
    LogWriterTask,
    OutgoingFrame,
    PeerLinkTask,
    UpstreamClient,
)

GC_THRESHOLD_ALLOCATIONS = 20_000
STREAMS = (CONFIG_STREAM, MEMBERSHIP_STREAM, JOURNAL_STREAM, DEFERRED_STREAM)
TICK_INTERVAL_SECONDS = 0.025
LEAVE_TIMEOUT_SECONDS = 5.0
# Of requests that are arriving or being answered, at all ports together.
MAX_HELD_BYTES = 16 * MAX_BODY_BYTES
STOP_POLL_INTERVAL_SECONDS = 0.05


async def run_process(settings: DaemonSettings) -> None:
    """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
    instance = settings.instance
    decisions = DecisionLog(instance.id)
    guard_standard_error(decisions.metrics)
    log = LogClient(str(settings.platform.log_url), instance.id)
    writer = LogWriterTask(log, settings.timing.commit_seconds)
    outbox: asyncio.Queue[OutgoingFrame] = asyncio.Queue()
    engine = Engine(settings, decisions, writer.inbox, outbox)
    peer_link = PeerLinkTask(
        str(instance.host), instance.peers_port, settings.peers, engine.inbox
    )
    upstreams = UpstreamClient()
    at_most_once = AtMostOnce(engine)
    runner = RequestRunner(engine, upstreams, at_most_once)
    jobs = DeferredJobs(engine, runner)
    caller_service = CallerService(engine, runner, at_most_once, jobs)
    planner = PlannerTask(engine)
    engine.read_traffic = lambda: Traffic(
        peer_link.bytes_sent,
        peer_link.bytes_received,
        peer_link.bad_frames,
        log.bytes_read,
        writer.appends,
        writer.records,
    )
    engine.on_cancel = caller_service.cancel_for_peer
    engine.on_deferred_page = jobs.handle_page
    instance_list = InstanceListTask(
        str(settings.platform.instance_list_url), engine.inbox
    )
    wait_seconds = settings.timing.read_wait_seconds
    readers = [
        LogReaderTask(log, stream, engine.inbox, wait_seconds) for stream in STREAMS
    ]
    host, stop_seconds = str(instance.host), settings.timing.stop_seconds
    callers = make_callers_app(engine, caller_service)
    limit = ConnectionLimit(max_held_bytes=MAX_HELD_BYTES)
    servers = [
        make_server(callers, host, instance.callers_port, stop_seconds, limit=limit),
        make_server(
            make_operators_app(engine),
            host,
            instance.operators_port,
            stop_seconds,
            limit=limit,
        ),
    ]
    # Objects created during start-up live as long as the process, so the garbage
    # collector need not scan them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    background_tasks = [
        loop.create_task(coroutine)
        for coroutine in (
            engine.run(),
            writer.run(),
            peer_link.run(),
            decisions.run(),
            jobs.run(),
            planner.run(),
            instance_list.run(),
            _tick(engine),
            _send_outgoing(peer_link, outbox),
            *(reader.run() for reader in readers),
        )
    ]
    server_tasks = [loop.create_task(server.serve()) for server in servers]
    decisions.info("started", incarnation=engine.incarnation)
    await wait_for_stop(stop, [*background_tasks, *server_tasks])
    await _finish_requests_and_leave(
        engine, caller_service, settings.timing.stop_seconds
    )
    for server in servers:
        server.should_exit = True
    await asyncio.gather(*server_tasks, return_exceptions=True)
    for task in background_tasks:
        task.cancel()
    await asyncio.gather(*background_tasks, return_exceptions=True)
    await upstreams.close()
    await log.close()
    peer_link.close()
    decisions.info("stopped", incarnation=engine.incarnation)


async def _finish_requests_and_leave(
    engine: Engine, caller_service: CallerService, seconds: float
) -> None:
    engine.is_stopping = True
    engine.decisions.info("stopping", in_flight=len(engine.dispatcher.requests_by_id))
    stop_deadline = engine.now() + seconds
    while engine.dispatcher.requests_by_id and engine.now() < stop_deadline:
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
    await caller_service.flush()
    engine.cluster.writer.leaving = True
    leave_deadline = min(stop_deadline, engine.now() + LEAVE_TIMEOUT_SECONDS)
    while engine.cluster.is_member() and engine.now() < leave_deadline:
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)


async def _tick(engine: Engine) -> None:
    while True:
        engine.tick()
        await asyncio.sleep(TICK_INTERVAL_SECONDS)


async def _send_outgoing(
    peer_link: PeerLinkTask, outbox: "asyncio.Queue[OutgoingFrame]"
) -> None:
    while True:
        await peer_link.send(await outbox.get())
