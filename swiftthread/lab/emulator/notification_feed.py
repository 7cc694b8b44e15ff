"""A feed of the events that nodes rejected after accepting them, for the clients that resubmit them."""

import json

from swiftthread.lab.http_server import HttpRequest, HttpServerConnection
from swiftthread.lab.loopback import address_of, listen
from swiftthread.lab.outcomes import EventOutcome
from swiftthread.lab.run_records import NotificationReceived, RecordWriter


class FeedConnection(HttpServerConnection):
    """A connection of a client, which is subscribed to the feed by its first request."""

    def __init__(self, feed: "NotificationFeed") -> None:
        super().__init__()
        self._feed = feed

    def on_request(self, request: HttpRequest) -> None:
        """Subscribe the connection; lines follow without a response head."""
        self._feed.subscribers[self] = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Unsubscribe; see `asyncio.Protocol`."""
        self._feed.subscribers.pop(self, None)


class NotificationFeed:
    """Records the notifications of nodes, and sends those with the outcome `handed_back` to all subscribers.

    Attributes:
        address: The listening address as host:port, set by `open`.
        subscribers: The connections that receive the notifications.
    """

    address: str

    def __init__(self, record_writer: RecordWriter) -> None:
        self.subscribers: dict[FeedConnection, bool] = {}
        self._record_writer = record_writer

    async def open(self) -> None:
        """Listen on an unused port."""
        self._server = await listen(lambda: FeedConnection(self))
        self.address = address_of(self._server.sockets[0])

    def publish(self, notification: NotificationReceived) -> None:
        """Record a notification; send `[event id, Retry-After in ms]` as a line if it is `handed_back`."""
        self._record_writer.write(notification)
        if notification.outcome != EventOutcome.REJECTED:
            return
        line = json.dumps([notification.event_id, notification.retry_after_ms]).encode() + b"\n"
        for subscriber in self.subscribers:
            subscriber.transport.write(line)
