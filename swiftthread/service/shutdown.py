"""Graceful shutdown of a node, inside the time that it has between SIGTERM and SIGKILL."""

import math
import socket

import anyio
from loguru import logger

from swiftthread.clocks import monotonic_ms
from swiftthread.service.node import Node

# ms after SIGTERM in which events are admitted: new connections come for 0.4 s and are answered.
ADMIT_MS = 600.0
# ms after SIGTERM in which attempts start; those in flight after it still get their time until the end.
SEND_MS = 2800.0
# ms after SIGTERM: the end, 0.3 s before the SIGKILL.
STOP_MS = 3400.0
# ms between two looks at what is still to be done.
CHECK_INTERVAL_MS = 20.0


def begin_shutdown(node: Node, listener: socket.socket) -> None:
    """Start the shutdown of a node, unless one is under way."""
    if node.submissions.sends_until < math.inf:
        return
    node.submissions.sends_until = monotonic_ms() + SEND_MS
    node.tasks.start_soon(_shut_down, node, listener)


async def _shut_down(node: Node, listener: socket.socket) -> None:
    """Let clients go and attempts end, then cancel the node's tasks; what is left stays in the log.

    An event that crosses the shutdown and can still be sent is admitted.
    """
    began_at = monotonic_ms()
    logger.info("stopping; {} events are pending", len(node.log.pending))
    node.server.begin_shutdown()
    while monotonic_ms() - began_at < STOP_MS:
        await anyio.sleep(CHECK_INTERVAL_MS / 1000.0)
        elapsed_ms = monotonic_ms() - began_at
        node.submissions.is_closed = elapsed_ms > ADMIT_MS
        node.scheduler.is_sending = elapsed_ms < SEND_MS
        if node.submissions.is_closed and not _has_work(node):
            break
    await node.server.finish_shutdown(listener, node.tasks)
    node.activity.log_counts()
    logger.info("stopped; {} events are left in the log", len(node.log.pending))
    node.tasks.cancel_scope.cancel()


def _has_work(node: Node) -> bool:
    """Whether events can still be sent or acknowledged, or clients wait for an answer."""
    if node.scheduler.is_sending:
        has_unfinished_events = bool(node.log.pending)
    else:
        has_unfinished_events = bool(node.router.calls_in_flight)
    return has_unfinished_events or node.server.has_pending_responses()
