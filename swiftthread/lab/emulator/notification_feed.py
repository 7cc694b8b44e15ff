"""A feed of the events that nodes handed back, for the clients that submit them again."""

import json

from swiftthread.lab.http_server import HttpRequest, HttpServerConnection
from swiftthread.lab.loopback import address_of, listen
from swiftthread.lab.outcomes import EventOutcome
from swiftthread.lab.run_records import NotificationReceived, RecordWriter


class FeedConnection(HttpServerConnection):
    """The connection of a client that follows the feed once it has made a request."""

    def __init__(self, feed: "NotificationFeed") -> None:
        super().__init__()
        self._feed = feed

    def on_request(self, request: HttpRequest) -> None:
        """Subscribe; there is no response head, lines follow."""
        self._feed.subscribers[self] = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Unsubscribe; see `asyncio.Protocol`."""
        self._feed.subscribers.pop(self, None)


class NotificationFeed:
    """Records notifications of nodes, and sends those of events handed back to all subscribers.

    Attributes:
        address: Where it listens, as host:port, once it is open.
        subscribers: The clients that follow it.
    """

    address: str

    def __init__(self, record_writer: RecordWriter) -> None:
        self.subscribers: dict[FeedConnection, bool] = {}
        self._record_writer = record_writer

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await listen(lambda: FeedConnection(self))
        self.address = address_of(self._server.sockets[0])

    def publish(self, notification: NotificationReceived) -> None:
        """Record a notification and send it on as a line `[event id, Retry-After in ms]`."""
        self._record_writer.write(notification)
        if notification.outcome != EventOutcome.HANDED_BACK:
            return
        line = json.dumps([notification.event_id, notification.retry_after_ms]).encode() + b"\n"
        for subscriber in self.subscribers:
            subscriber.transport.write(line)
