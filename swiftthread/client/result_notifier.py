"""Notifications of the final outcomes of undelivered events, posted again until they are acknowledged."""

# A notification is one line of JSON; the status 204 acknowledges all lines of a request.

from __future__ import annotations

import json
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from swiftthread.client.http_exchange import HttpRequest, HttpResponse, client_parser, exchange
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, connect
from swiftthread.network.tcp_connection import ConnectionClosed

if TYPE_CHECKING:
    from swiftthread.storage.decision import Decision

MAX_LINES_PER_REQUEST = 200  # keeps a request well below 64 KiB
STATUS_ACKNOWLEDGED = 204


@dataclass(slots=True, eq=False)
class PendingNotification:
    """A notification that is not acknowledged yet."""

    line: str
    acknowledged: anyio.Event = field(default_factory=anyio.Event)


class ResultNotifier:
    """Posts notifications to discovery's address, each request on a connection of its own."""

    # On a reused one a late copy of an acknowledgement would acknowledge a request that failed.

    def __init__(
        self,
        address: tuple[str, int],
        buffers: BufferPool,
        response_timeout_ms: float,
        retry_pause_ms: float,
    ) -> None:
        self.address = address
        self.buffers = buffers
        self.response_timeout_ms = response_timeout_ms
        self.retry_pause_ms = retry_pause_ms
        self.pending: dict[str, PendingNotification] = {}  # by event id, until acknowledged
        self.has_pending = anyio.Event()
        self.post_scope = anyio.CancelScope()

    def change_address(self, address: tuple[str, int]) -> None:
        """Set the address after discovery has moved."""
        # Notifications that are not acknowledged yet are posted to the new address, possibly for the second
        # time.
        if address != self.address:
            self.address = address
            self.post_scope.cancel()

    async def notify(self, event_id: str, decision: Decision) -> None:
        """Notify of the final outcome of an event; return once the notification is acknowledged."""
        fields: dict[str, object] = {"message": event_id, "outcome": decision.outcome}
        if decision.retry_after_ms:
            fields["retry_in_ms"] = round(decision.retry_after_ms)
        notification = PendingNotification(json.dumps(fields))
        self.pending[event_id] = notification
        self.has_pending.set()
        await notification.acknowledged.wait()

    async def run(self) -> None:
        """Post pending notifications, up to MAX_LINES_PER_REQUEST in one request, until cancelled."""
        while True:
            if not self.pending:
                self.has_pending = anyio.Event()
                await self.has_pending.wait()
            batch = dict(list(self.pending.items())[:MAX_LINES_PER_REQUEST])
            if await self._post(batch.values()):
                for event_id, notification in batch.items():
                    del self.pending[event_id]
                    notification.acknowledged.set()
            else:
                host, port = self.address
                logger.warning(
                    "discovery {}:{}: notifications are not acknowledged; {} wait to be posted again",
                    host,
                    port,
                    len(self.pending),
                )
                await anyio.sleep(self.retry_pause_ms / 1000.0)

    async def _post(self, batch: Collection[PendingNotification]) -> bool:
        # Post notifications and return whether they are acknowledged.
        body = "".join(notification.line + "\n" for notification in batch).encode()
        request = HttpRequest("POST", "/status", [("Host", "discovery")], body)
        response = HttpResponse(keeps_body=False)
        address = self.address
        connection: Connection | None = None
        try:
            with anyio.move_on_after(self.response_timeout_ms / 1000.0) as self.post_scope:
                connection = await connect(address, self.buffers, client_parser())
                await exchange(connection, request, response, self.post_scope)
        except ConnectionClosed:
            pass
        except Exception:  # keeps the node running: they are posted again on another connection
            logger.exception("discovery {}:{}: posting notifications failed; they are posted again", *address)
            response = HttpResponse()
        finally:
            if connection is not None:
                connection.close()
        return response.is_complete and response.status == STATUS_ACKNOWLEDGED
