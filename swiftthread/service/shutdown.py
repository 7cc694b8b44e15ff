"""Graceful shutdown of a node within the time between SIGTERM and SIGKILL."""

import math
import socket

import anyio
from loguru import logger

from swiftthread.clocks import monotonic_ms
from swiftthread.service.node import Node

# Time after SIGTERM in which events are accepted: new connections arrive for 0.4 s and get a response.
ADMISSION_DURATION_MS = 600.0
# Time after SIGTERM in which attempts start. Attempts still in flight then may complete until the end of the
# shutdown.
SEND_DURATION_MS = 2800.0
# Time from SIGTERM to the end of the shutdown, which is 0.3 s before SIGKILL.
SHUTDOWN_DURATION_MS = 3400.0
# Interval at which the shutdown checks for remaining work.
CHECK_INTERVAL_MS = 20.0


def begin_shutdown(node: Node, listener: socket.socket) -> None:
    """Start the shutdown of a node, unless it has started already."""
    if node.submissions.sends_until < math.inf:
        return
    node.submissions.sends_until = monotonic_ms() + SEND_DURATION_MS
    node.tasks.start_soon(_shut_down, node, listener)


async def _shut_down(node: Node, listener: socket.socket) -> None:
    # Finish the connections of clients and the attempts, then cancel the node's tasks. Events that are still
    # pending stay in the log. An event whose submission crosses the beginning of the shutdown is accepted if
    # it can still be sent.
    began_at = monotonic_ms()
    logger.info("stopping; {} events are pending", len(node.log.pending))
    node.server.begin_shutdown()
    while monotonic_ms() - began_at < SHUTDOWN_DURATION_MS:
        await anyio.sleep(CHECK_INTERVAL_MS / 1000.0)
        elapsed_ms = monotonic_ms() - began_at
        node.submissions.is_closed = elapsed_ms > ADMISSION_DURATION_MS
        node.scheduler.is_sending = elapsed_ms < SEND_DURATION_MS
        if node.submissions.is_closed and not _has_work(node):
            break
    await node.server.finish_shutdown(listener)
    node.activity.log_counts()
    logger.info("stopped; {} events are left in the log", len(node.log.pending))
    node.tasks.cancel_scope.cancel()


def _has_work(node: Node) -> bool:
    # Returns whether events can still be sent or acked, or clients still wait for a response.
    if node.scheduler.is_sending:
        has_unfinished_events = bool(node.log.pending)
    else:
        has_unfinished_events = bool(node.router.calls_in_flight)
    return has_unfinished_events or node.server.has_pending_responses()
