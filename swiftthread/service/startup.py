"""A node from its start to its end: the log, the listener, and the signals in between."""

import contextlib
import signal
from collections.abc import AsyncIterator

import anyio
from loguru import logger

from swiftthread.configuration.node_config import NodeConfig
from swiftthread.network.listener import open_listener
from swiftthread.service.composition import NodeBuilder
from swiftthread.service.limits import Limits
from swiftthread.service.reload import reload_config
from swiftthread.service.shutdown import begin_shutdown
from swiftthread.storage.log_clock import LogClock
from swiftthread.storage.write_ahead_log import WriteAheadLog

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


async def serve(config: NodeConfig) -> None:
    """Run one node until SIGTERM or SIGINT, and end in the time that is left then; SIGHUP reloads.

    `SIGNALS` are blocked by the caller until they are received here, and blocked again once they are not: one
    that comes while the log is read, or a second one beside the exit, ends no process in the middle of
    something.
    """
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        try:
            await _run_node(config, signals)
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def _run_node(config: NodeConfig, signals: AsyncIterator[signal.Signals]) -> None:
    settings = config.settings
    limits = Limits(
        config.limits, settings.max_calls_in_flight, settings.keepalive_ms, settings.connect_timeout_ms
    )
    clock = LogClock(config.state_directory)
    with contextlib.closing(WriteAheadLog(config.state_directory, limits.disk_bytes, clock.now_ms)) as log:
        if clock.was_set_from_wall_clock:
            clock.advance_to(log.latest_send_at())
            clock.store()
        for warning in config.settings_warnings:
            logger.warning(warning)
        _report_damage(log)
        async with anyio.create_task_group() as tasks:
            node = NodeBuilder(config, limits, log, clock.now_ms, tasks).build()
            node.start()
            listener = open_listener(config.listen, limits.backlog)
            with contextlib.ExitStack() as resources:
                resources.callback(tasks.cancel_scope.cancel)
                resources.callback(node.connections.close_all)
                resources.callback(listener.close)
                tasks.start_soon(node.server.serve, listener, tasks)
                logger.info(
                    "{} serves on {}:{}; {} events are pending", config.name, *config.listen, len(log.pending)
                )
                async for received in signals:
                    if received == signal.SIGHUP:
                        config = reload_config(config, node.discovery, node.notifier)
                    else:
                        begin_shutdown(node, listener)


def _report_damage(log: WriteAheadLog) -> None:
    """Log what of the log file could not be read."""
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
