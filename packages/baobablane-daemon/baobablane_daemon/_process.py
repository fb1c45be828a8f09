"""Run all tasks of an entry instance until it is told to stop."""

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

from ._serving import make_server, wait_for_stop
from .edge import make_callers_app, make_operators_app
from .engine import (
    AtMostOnce,
    CallServer,
    DeferredJobs,
    Engine,
    PlannerTask,
    RequestRunner,
    Traffic,
)
from .settings import DaemonSettings
from .tasks import (
    DecisionLog,
    InstanceListTask,
    LogReaderTask,
    LogWriterTask,
    PeerLinkTask,
    PeerSend,
    UpstreamClient,
)

GARBAGE_THRESHOLD = 20_000
STREAMS = (CONFIG_STREAM, MEMBERSHIP_STREAM, JOURNAL_STREAM, DEFERRED_STREAM)
TICK_SECONDS = 0.025
LEAVE_SECONDS = 5.0
LEAVE_POLL_SECONDS = 0.05


async def run_process(settings: DaemonSettings) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is in flight."""
    instance = settings.instance
    decisions = DecisionLog(instance.id)
    log = LogClient(str(settings.platform.log_url), instance.id)
    writer = LogWriterTask(log, settings.timing.commit_seconds)
    outbox: asyncio.Queue[PeerSend] = asyncio.Queue()
    engine = Engine(settings, decisions, writer.inbox, outbox)
    link = PeerLinkTask(
        str(instance.host), instance.peers_port, settings.peers, engine.inbox
    )
    upstreams = UpstreamClient()
    at_most_once = AtMostOnce(engine)
    runner = RequestRunner(engine, upstreams, at_most_once)
    jobs = DeferredJobs(engine, runner)
    calls = CallServer(engine, runner, at_most_once, jobs)
    planner = PlannerTask(engine)
    engine.traffic = lambda: Traffic(
        link.bytes_sent,
        link.bytes_received,
        link.bad_frames,
        log.bytes_read,
        writer.appends,
        writer.records,
    )
    engine.on_cancel = calls.cancel_for_peer
    engine.on_deferred_page = jobs.handle_page
    listing = InstanceListTask(str(settings.platform.instance_list_url), engine.inbox)
    wait_seconds = settings.timing.read_wait_seconds
    readers = [
        LogReaderTask(log, stream, engine.inbox, wait_seconds) for stream in STREAMS
    ]
    host, stop_seconds = str(instance.host), settings.timing.stop_seconds
    callers = make_callers_app(engine, calls)
    servers = [
        make_server(callers, host, instance.callers_port, stop_seconds),
        make_server(
            make_operators_app(engine), host, instance.operators_port, stop_seconds
        ),
    ]
    # What start-up made lives as long as the process.
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    running = [
        loop.create_task(coroutine)
        for coroutine in (
            engine.run(),
            writer.run(),
            link.run(),
            decisions.run(),
            jobs.run(),
            planner.run(),
            listing.run(),
            _tick(engine),
            _send_peers(link, outbox),
            *(reader.run() for reader in readers),
        )
    ]
    serving = [loop.create_task(server.serve()) for server in servers]
    decisions.info("started", incarnation=engine.incarnation)
    await wait_for_stop(stop, [*running, *serving])
    await _drain(engine, calls, settings.timing.stop_seconds)
    for server in servers:
        server.should_exit = True
    await asyncio.gather(*serving, return_exceptions=True)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    await upstreams.close()
    await log.close()
    link.close()
    decisions.info("stopped", incarnation=engine.incarnation)


async def _drain(engine: Engine, calls: CallServer, seconds: float) -> None:
    engine.stopping = True
    engine.decisions.info("stopping", in_flight=len(engine.dispatcher.requests_by_id))
    give_up_at = engine.now() + seconds
    while engine.dispatcher.requests_by_id and engine.now() < give_up_at:
        await asyncio.sleep(LEAVE_POLL_SECONDS)
    await calls.flush()
    engine.cluster.writer.leaving = True
    leave_by = min(give_up_at, engine.now() + LEAVE_SECONDS)
    while engine.cluster.is_member() and engine.now() < leave_by:
        await asyncio.sleep(LEAVE_POLL_SECONDS)


async def _tick(engine: Engine) -> None:
    while True:
        engine.tick()
        await asyncio.sleep(TICK_SECONDS)


async def _send_peers(link: PeerLinkTask, outbox: "asyncio.Queue[PeerSend]") -> None:
    while True:
        await link.send(await outbox.get())
