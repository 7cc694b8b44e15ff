"""The floor program: accept events with h11, append them to a file, respond with 202, send them with h11.

It does only what every node on h11 must do, and so shows the minimum cost of such a node.
"""

import asyncio
import json
import os
import signal
from collections import deque
from dataclasses import dataclass
from typing import cast

import h11

from swiftthread.lab.node_configuration import NodeConfiguration, read_configuration, split_address

CONNECTIONS_PER_ENDPOINT = 32  # Each connection has at most one call in flight.
LISTEN_BACKLOG = 1024
LOG_FILE_NAME = "floor"  # The file is in the state folder.
LOG_FILE_MODE = 0o600


class HttpConnection(asyncio.Protocol):
    """One connection and its h11 parser; a subclass handles complete messages in `on_message`."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self._parser = h11.Connection(role)
        self._message: h11.Request | h11.Response
        self._body = bytearray()

    def on_message(self, message: h11.Request | h11.Response, body: bytes) -> None:
        """Handle a complete request or response."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; see `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse the data and handle each complete message; see `asyncio.Protocol`."""
        self._parser.receive_data(data)
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, (h11.Request, h11.Response)):
                self._message = event
                self._body = bytearray()
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._finish_message()

    def _finish_message(self) -> None:
        message = self._message
        body = bytes(self._body)
        self._start_next_cycle()  # A client connection may send its next request within `on_message`.
        self.on_message(message, body)
        self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()

    def send_message(self, *events: h11.Event) -> None:
        """Write the h11 events of one message together."""
        self._transport.write(b"".join(self._parser.send(event) or b"" for event in events))


class IngressConnection(HttpConnection):
    """A connection from a client."""

    def __init__(self, node: "FloorNode") -> None:
        super().__init__(h11.SERVER)
        self._node = node

    def on_message(self, message: h11.Request | h11.Response, body: bytes) -> None:
        """Accept a submission; respond to any other request with 200."""
        status = 200
        if isinstance(message, h11.Request) and message.method == b"POST":
            status = 202
            event_id = dict(message.headers)[b"x-txn"].decode()
            self._node.accept(PendingEvent(event_id, body))
        response = h11.Response(status_code=status, headers=[("Content-Length", "0")])
        self.send_message(response, h11.EndOfMessage())
        self._node.send_pending()


class EndpointConnection(HttpConnection):
    """A connection to an endpoint."""

    def __init__(self, node: "FloorNode") -> None:
        super().__init__(h11.CLIENT)
        self._node = node

    def on_message(self, message: h11.Request | h11.Response, body: bytes) -> None:
        """Return the connection to the idle ones, whatever the response is."""
        self._node.idle_connections.append(self)
        self._node.send_pending()


@dataclass(frozen=True, slots=True)
class PendingEvent:
    """An accepted event that was not sent yet."""

    event_id: str
    body: bytes


class FloorNode:
    """Sends each event once, on any idle connection.

    Attributes:
        idle_connections: The connections to endpoints that have no call in flight.
    """

    def __init__(self, configuration: NodeConfiguration) -> None:
        self.idle_connections: list[EndpointConnection] = []
        self._configuration = configuration
        self._pending: deque[PendingEvent] = deque()
        self._log_descriptor = -1

    def accept(self, event: PendingEvent) -> None:
        """Append an event to the log and queue it."""
        line = json.dumps([event.event_id, event.body.decode("latin-1")]).encode() + b"\n"
        os.write(self._log_descriptor, line)
        self._pending.append(event)

    def send_pending(self) -> None:
        """Send queued events until no connection is idle."""
        while self._pending and self.idle_connections:
            event = self._pending.popleft()
            headers = [
                ("Host", "endpoint"),
                ("X-Txn", event.event_id),
                ("Content-Length", str(len(event.body))),
            ]
            self.idle_connections.pop().send_message(
                h11.Request(method="POST", target="/receive", headers=headers),
                h11.Data(data=event.body),
                h11.EndOfMessage(),
            )

    async def serve(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        terminated = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, terminated.set)
        log_path = os.path.join(self._configuration.state_folder, LOG_FILE_NAME)
        self._log_descriptor = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, LOG_FILE_MODE)
        try:
            await self._connect_to_endpoints()
            host, port = split_address(self._configuration.listen)
            server = await loop.create_server(
                lambda: IngressConnection(self), host, port, backlog=LISTEN_BACKLOG
            )
            await terminated.wait()
            server.close()
        finally:
            os.close(self._log_descriptor)

    async def _connect_to_endpoints(self) -> None:
        loop = asyncio.get_running_loop()
        for endpoint in self._configuration.endpoints:
            for _ in range(CONNECTIONS_PER_ENDPOINT):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(self), endpoint.host, endpoint.port
                )
                self.idle_connections.append(connection)


def main() -> None:
    """Run the floor program until SIGTERM, with the configuration file named in the environment."""
    asyncio.run(FloorNode(read_configuration()).serve())
