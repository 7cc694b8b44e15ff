"""Clients of endpoints, for tests that need no node."""

import math

import anyio

from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.send_preparation import SendPreparation
from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import MemoryAccount
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.routing.events import Event
from swiftthread.service.activity import Activity
from swiftthread.storage.pending_event import PendingEvent

SEND_DEADLINE_MS = 60_000.0


def send_preparation(**steps):
    """Return steps before a first byte that allow all sends; `steps` replaces some of them."""

    async def wait_until_recorded(_since):
        await anyio.lowlevel.checkpoint()

    return SendPreparation(
        **{
            "wait_until_recorded": wait_until_recorded,
            "record_send": lambda _pending: True,
            "update_endpoint_list": lambda: None,
            "send_deadline": lambda *_: monotonic_ms() + SEND_DEADLINE_MS,
        }
        | steps
    )


def endpoint_client(tasks, addresses, **steps):
    """Return a client that knows these addresses, by endpoint id; `steps` are those of its sends."""
    return EndpointClient(
        tasks=tasks,
        buffers=BufferPool(),
        clock=monotonic_ms,
        log_clock=monotonic_ms,
        addresses=addresses,
        connect_timeout_ms=1500.0,
        report_fields=(),
        preparation=send_preparation(**steps),
        observer=Activity(),
        memory=MemoryAccount(64e6, 0),
        hold_ups=HoldUps(),
    )


def sendable_event(number, destination):
    """Return an event that the router has decided to send."""
    pending = PendingEvent(f"evt-{number}", "", "notice", destination.number, math.inf, None, 0, b"body")
    pending.router_event = Event(None, destination, 0, 1.0, math.inf, math.inf, 0.0)
    return pending
