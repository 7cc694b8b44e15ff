"""The floor program: accept by h11, append to a file, answer 202, send by h11.

It does what no node on h11 can do without, and so shows the least that such a node costs.
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

CONNECTIONS_PER_ENDPOINT = 32  # connections to each endpoint, with at most one call in flight on each
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
LOG_FILE = "floor"  # in the state folder
LOG_FILE_MODE = 0o600


class HttpConnection(asyncio.Protocol):
    """One connection and its h11 parser; a subclass takes whole messages in `on_message`."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self._parser = h11.Connection(role)
        self._message: h11.Request | h11.Response
        self._body = bytearray()

    def on_message(self, message: h11.Request | h11.Response, body: bytes) -> None:
        """Take a whole request or response."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; see `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse; see `asyncio.Protocol`."""
        self._parser.receive_data(data)
        while True:
            part = self._parser.next_event()
            if part is h11.NEED_DATA or part is h11.PAUSED or isinstance(part, h11.ConnectionClosed):
                return
            if isinstance(part, (h11.Request, h11.Response)):
                self._message = part
                self._body = bytearray()
            elif isinstance(part, h11.Data):
                self._body += part.data
            elif isinstance(part, h11.EndOfMessage):
                self._finish_message()

    def _finish_message(self) -> None:
        message = self._message
        body = bytes(self._body)
        self._start_next_cycle()  # a client may make its next request from within `on_message`
        self.on_message(message, body)
        self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()

    def send_message(self, *parts: h11.Event) -> None:
        """Write the parts of one message together."""
        self._transport.write(b"".join(self._parser.send(part) or b"" for part in parts))


class IngressConnection(HttpConnection):
    """A connection of a client."""

    def __init__(self, node: "FloorNode") -> None:
        super().__init__(h11.SERVER)
        self._node = node

    def on_message(self, message: h11.Request | h11.Response, body: bytes) -> None:
        """Accept a submission; answer anything else with 200."""
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
        """Become idle, whatever the answer is."""
        self._node.idle_connections.append(self)
        self._node.send_pending()


@dataclass(frozen=True, slots=True)
class PendingEvent:
    """An accepted event that is not sent yet."""

    event_id: str
    body: bytes


class FloorNode:
    """Sends each event once, on whatever connection is idle.

    Attributes:
        idle_connections: The connections to endpoints without a call in flight.
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
        """Send queued events while there are idle connections."""
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
        log_path = os.path.join(self._configuration.state_folder, LOG_FILE)
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
    """Run the floor program, configured by the environment, until SIGTERM."""
    asyncio.run(FloorNode(read_configuration()).serve())
