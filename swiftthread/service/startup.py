"""Runs a node from start to exit: opens the log and the listener, and handles signals."""

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
from swiftthread.signals import SIGNALS
from swiftthread.storage.log_clock import LogClock
from swiftthread.storage.write_ahead_log import WriteAheadLog


async def serve(config: NodeConfig) -> None:
    """Run one node; SIGTERM and SIGINT shut it down in the time before SIGKILL, SIGHUP reloads."""
    # The caller has blocked `SIGNALS`. They are unblocked once this function receives them, and blocked again
    # when it no longer does. Therefore a signal that arrives while the log is read, or a second one during
    # the exit, does not kill the process in the middle of an operation.
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        try:
            await _run_node(config, signals)
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def _run_node(config: NodeConfig, signals: AsyncIterator[signal.Signals]) -> None:
    settings = config.settings
    limits = Limits(config.limits, settings.max_calls_in_flight, settings.connect_timeout_ms)
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
    # Report the parts of the write-ahead log that could not be read.
    if log.torn_bytes:
        logger.warning(
            "the last record of the write-ahead log is incomplete; its {} bytes were removed", log.torn_bytes
        )
    for begin, end in log.unreadable_ranges:
        logger.error(
            "{}: bytes {} to {} are not records of this program; every event accepted before them is"
            " treated as possibly sent",
            log.path,
            begin,
            end,
        )
