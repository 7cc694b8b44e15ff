"""Start, reload and stop of one node: everything it owns is made here and given back here."""

import math
import os
import signal
import time

import anyio
from loguru import logger

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.http_exchange import UNREADABLE
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.configuration.node_config import NodeConfig
from swiftthread.configuration.settings_reader import MalformedInput
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.network.listener import open_listener
from swiftthread.server.http_server import HttpServer
from swiftthread.service import limits as bounds
from swiftthread.service.node import Node
from swiftthread.service.scheduler import Scheduler
from swiftthread.storage.write_ahead_log import WriteAheadLog

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def clock():
    """The module's clock: ms, forward only."""
    return time.monotonic() * 1000.0


def wall():
    """Unix time in ms, for what must mean the same after a restart."""
    return time.time() * 1000.0


async def serve(told):
    """Run one node until SIGTERM, and end inside the time that leaves.

    SIGHUP: the configuration is read again. `SIGNALS` are held back by the caller until somebody listens, and
    again once nobody does: one that comes while the log is read, or a second one beside the exit, ends no
    process in the middle of something.
    """
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        try:
            await _serve(told, signals)
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def _serve(told, signals):
    settings = told.settings
    limits = bounds.Limits(
        told.limits, settings.max_calls_in_flight, settings.keepalive_ms, settings.connect_timeout_ms
    )
    log = WriteAheadLog(told.state, limits.disk_bytes, wall)
    try:
        for line in told.doubtful_settings:
            logger.warning(line)
        if log.torn_bytes:
            logger.warning("{} bytes at the end of the log were torn and are cut off", log.torn_bytes)
        for begin, end in log.unreadable_ranges:
            logger.error(
                "{}: bytes {} to {} are none of this program's records; what was taken before them is held to"
                " have been sent",
                log.path,
                begin,
                end,
            )
        async with anyio.create_task_group() as tasks:
            buffers, connections = (
                BufferPool(),
                ConnectionPool(clock, limits.max_idle_ms, limits.max_idle_connections),
            )
            discovery = DiscoveryClient(
                address=told.discovery,
                buffers=buffers,
                kind_numbers=told.kind_numbers,
                zone_numbers=told.zone_numbers,
                quiet_ms=bounds.WATCH_QUIET_MS,
                connect_timeout_ms=bounds.PLATFORM_MS,
            )
            node = Node(
                settings=settings,
                seed=told.seed,
                stream_type_numbers=told.stream_type_numbers,
                tenant_numbers=told.tenant_numbers,
                scheduler_for=lambda router: Scheduler(router, clock, settings.tick_ms),
                log=log,
                clock=clock,
                wall_clock=wall,
                limits=limits,
                tasks=tasks,
            )
            node.endpoint_client = EndpointClient(
                tasks=tasks,
                connections=connections,
                buffers=buffers,
                clock=clock,
                wall_clock=wall,
                addresses=discovery.addresses,
                connect_timeout_ms=limits.connect_timeout_ms,
                report_fields=told.report_fields,
                send_deadline=node.router.send_deadline,
            )
            node.notifier = ResultNotifier(
                address=told.discovery,
                buffers=buffers,
                response_timeout_ms=bounds.PLATFORM_MS,
                retry_pause_ms=bounds.NOTICE_PAUSE_MS,
            )
            server = node.server = HttpServer(
                admit=node.admit,
                stream_types=told.stream_type_numbers,
                buffers=buffers,
                limits=limits,
                wall_clock=wall,
                first_request_ms=bounds.FIRST_MS,
                request_ms=bounds.REQUEST_MS,
                idle_ms=bounds.CLIENT_IDLE_MS,
                admission=node.admission,
                request_tick=node.scheduler.request_tick,
            )
            if told.known_list:
                try:
                    node.router.apply_endpoint_list(*discovery.parse_list(told.known_list), clock())
                except UNREADABLE as fault:
                    logger.warning(
                        "the configuration's known list cannot be read ({}); the watch will tell", fault
                    )
            node.resume_pending()
            tasks.start_soon(node.notifier.run)
            tasks.start_soon(node.scheduler.run, node.on_tick)
            tasks.start_soon(node.follow_discovery, discovery)
            listener = open_listener(told.listen, limits.backlog)
            try:
                tasks.start_soon(server.serve, listener, tasks)
                logger.info(
                    "{} serves on {}:{}; {} events are owed", told.name, *told.listen, len(log.pending)
                )
                async for which in signals:
                    if which == signal.SIGHUP:
                        told = reload(told, discovery, node.notifier)
                    elif node.sends_until == math.inf:
                        node.sends_until = clock() + bounds.SENDING_MS
                        tasks.start_soon(stop, node, server, listener, log, tasks)
            finally:
                listener.close()
                connections.close_all()
                tasks.cancel_scope.cancel()
    finally:
        log.close()


def reload(told, discovery, notifier):
    """What can change under load: where discovery is.

    A configuration that cannot be used leaves all as it was.
    """
    try:
        fresh = NodeConfig(os.environ, anew=True)
    except MalformedInput as fault:
        logger.error("the new configuration is not used: {}", fault)
        return told
    for part in [part for part in fresh.fixed_parts if fresh.fixed_parts[part] != told.fixed_parts[part]]:
        logger.warning("the new configuration's {} counts from the next start on", part)
    fresh.fixed_parts = told.fixed_parts
    logger.info("the configuration is read again; discovery is at {}:{}", *fresh.discovery)
    discovery.change_address(fresh.discovery)
    notifier.change_address(fresh.discovery)
    return fresh


async def stop(node, server, listener, log, tasks):
    """Clients are let go, but an event that crosses that and can still be sent is taken.

    Sends go on for a while, calls out get their time; the rest is in the log.
    """
    begun = clock()
    logger.info("stopping; {} events are held", len(log.pending))
    server.close_idle()
    while clock() - begun < bounds.STOP_MS:
        await anyio.sleep(0.02)
        spent = clock() - begun
        node.is_stopping, node.scheduler.is_sending = spent > bounds.ANSWERING_MS, spent < bounds.SENDING_MS
        idle = not log.pending if node.scheduler.is_sending else not node.router.calls_in_flight
        if idle and not server.owes_answers() and spent > bounds.ANSWERING_MS:
            break
    await server.finish(listener, tasks)
    logger.info("stopped; {} events are left in the log", len(log.pending))
    tasks.cancel_scope.cancel()
