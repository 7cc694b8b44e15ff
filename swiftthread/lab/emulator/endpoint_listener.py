"""The listening socket and connections of one emulated endpoint, and the faults injected into them."""

import asyncio
import base64
import json
import random
import socket
from contextlib import suppress
from typing import Protocol

from swiftthread.lab.background_tasks import BackgroundTasks
from swiftthread.lab.emulator.response_writer import ResponseFaults
from swiftthread.lab.faults import Fault, FaultKind
from swiftthread.lab.http_server import HttpRequest, HttpServerConnection, encode_response
from swiftthread.lab.loopback import address_of, bind_unused_port
from swiftthread.lab.receiver_model import ReceiverModel
from swiftthread.lab.receivers import Call, Endpoint

LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 64  # After this many connections, other events of the loop run before the next ones.
BACKLOG_FILLERS = 3  # This many connections fill the accept queue of a socket with a backlog of 0.
# How often an unresponsive endpoint checks whether callers have closed their connections.
CLOSE_POLL_INTERVAL_S = 0.005
# Values of tcp_info.tcpi_state on Linux once the peer has closed: CLOSE and CLOSE_WAIT.
CLOSED_TCP_STATES = (7, 8)
BATCH_TARGET = "/receive-many"

SLOW_IO_CHUNK_BYTES = 64  # A slow reader or writer transfers at most this much per interval.
SLOW_IO_INTERVAL_MS = 20.0
SLOW_READ_BUFFER_BYTES = 4096  # The small receive buffer makes the caller's writes meet a full TCP window.


class CallHandler(Protocol):
    """Handles the requests of a listener's connections."""

    def on_health_check(self, connection: "EndpointConnection") -> None:
        """Handle a health check."""

    def on_call_received(
        self, connection: "EndpointConnection", event_ids: list[str], request: HttpRequest
    ) -> None:
        """Handle a call that delivers events."""

    def on_caller_disconnected(self, call: Call) -> None:
        """Handle the close of a connection whose call has no response yet."""


class EndpointConnection(HttpServerConnection):
    """A connection to an endpoint.

    Attributes:
        listener: The listener that accepted it.
        call: The call on it that has no response yet, if there is one.
    """

    def __init__(self, listener: "EndpointListener") -> None:
        super().__init__()
        self.listener = listener
        self.call: Call | None = None
        self._has_connection_slot = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or reset it if the endpoint has reached its connection limit or is down."""
        super().connection_made(transport)
        self.listener.connections[self] = True
        self._has_connection_slot = self.listener.receivers.open_connection(self.listener.endpoint)
        if not self._has_connection_slot:
            self.reset()
        elif self.listener.has_fault(FaultKind.SLOW_READ):
            self._throttle_reading()

    def _throttle_reading(self) -> None:
        """Read one chunk, then pause."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BUFFER_BYTES)
        # `max_size` is how much the transport reads at once; asyncio has no public name for it.
        self.transport.max_size = SLOW_IO_CHUNK_BYTES  # type: ignore[attr-defined]
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(SLOW_IO_INTERVAL_MS / 1000.0, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse the data, or reset the connection if that fault is drawn; see `asyncio.Protocol`."""
        if self.listener.should_inject(FaultKind.RESET_BEFORE_REQUEST):
            self.reset()
            return
        if self.listener.should_inject(FaultKind.REJECT_EARLY):
            self.transport.write(encode_response(503, [("Connection", "close")]))
            self.transport.close()
            return
        super().data_received(data)
        if self.listener.has_fault(FaultKind.SLOW_READ) and not self.transport.is_closing():
            self._throttle_reading()

    def on_request(self, request: HttpRequest) -> None:
        """Pass a health check or call to the handler; respond to a malformed batch with 400."""
        handler = self.listener.call_handler
        if request.method == "GET":
            handler.on_health_check(self)
            return
        try:
            event_ids = _event_ids(request)
        except (ValueError, KeyError, TypeError):
            self.transport.write(encode_response(400))
            return
        handler.on_call_received(self, event_ids, request)

    def caller_has_closed(self) -> bool:
        """Return whether the caller has closed or reset the connection, whatever is unread."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return False
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in CLOSED_TCP_STATES

    def write_response(self, data: bytes) -> None:
        """Write an encoded response, in small chunks if the endpoint is a slow writer."""
        if self.listener.has_fault(FaultKind.SLOW_WRITE):
            self._write_slowly(data)
        else:
            self.listener.response_faults.write(self.transport, data)

    def _write_slowly(self, data: bytes) -> None:
        if self.transport.is_closing() or not data:
            return
        self.transport.write(data[:SLOW_IO_CHUNK_BYTES])
        rest = data[SLOW_IO_CHUNK_BYTES:]
        asyncio.get_running_loop().call_later(SLOW_IO_INTERVAL_MS / 1000.0, self._write_slowly, rest)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection and report the close if a call has no response; see `asyncio.Protocol`."""
        self.listener.connections.pop(self, None)
        if self._has_connection_slot:
            self.listener.receivers.close_connection(self.listener.endpoint)
        if self.call is not None:
            call = self.call
            self.call = None
            self.listener.call_handler.on_caller_disconnected(call)


def _event_ids(request: HttpRequest) -> list[str]:
    """Return the ids of the events in a call.

    Raises:
        ValueError, KeyError, TypeError: The batch is malformed.
    """
    if request.target != BATCH_TARGET:
        return [request.headers.get("x-txn", "")]
    events = json.loads(request.body)
    for event in events:
        base64.b64decode(event["body"])
    return [event["id"] for event in events]


class EndpointListener:
    """Owns the listening socket of one endpoint and the connections accepted from it.

    Attributes:
        endpoint: The endpoint in the receiver model.
        receivers: The receiver model.
        call_handler: Handles the requests of the connections.
        address: The listening address as host:port.
        connections: The open connections, in the order in which they were accepted.
        active_faults: The injected socket faults.
        response_faults: Writes the responses with the injected faults.
    """

    def __init__(
        self, endpoint: Endpoint, receivers: ReceiverModel, rng: random.Random, call_handler: CallHandler
    ) -> None:
        self.endpoint = endpoint
        self.receivers = receivers
        self.call_handler = call_handler
        self.connections: dict[EndpointConnection, bool] = {}
        self.active_faults: dict[FaultKind, Fault] = {}
        self.response_faults = ResponseFaults(rng, self.active_faults)
        self._backlog_fillers: list[socket.socket] = []
        self._tasks = BackgroundTasks()
        self._loop = asyncio.get_running_loop()
        self._is_listening = False
        self._socket = bind_unused_port()
        self.address = address_of(self._socket)

    def has_fault(self, kind: FaultKind) -> bool:
        """Return whether this socket fault is injected, with any share above 0."""
        return kind in self.active_faults and self.active_faults[kind].share > 0.0

    def should_inject(self, kind: FaultKind) -> bool:
        """Draw whether a socket fault takes effect this time, with the probability of its share."""
        return self.response_faults.draws(kind)

    def open(self) -> None:
        """Start to listen, unless it listens already."""
        if not self._is_listening:
            self._socket.listen(LISTEN_BACKLOG)
            self._loop.add_reader(self._socket, self._accept)
            self._is_listening = True

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._tasks.spawn(self._connect(sock))

    async def _connect(self, sock: socket.socket) -> None:
        with suppress(OSError):  # The caller has disconnected already.
            await self._loop.connect_accepted_socket(lambda: EndpointConnection(self), sock)

    def refuse_connections(self) -> None:
        """Stop listening and reset all open connections."""
        self.end_unresponsiveness()
        if self._is_listening:
            self._loop.remove_reader(self._socket)
            self._socket.shutdown(socket.SHUT_RDWR)  # On Linux, this ends listening and holds the port.
            self._is_listening = False
        self._reset_connections()

    def become_unresponsive(self) -> None:
        """Leave new connections unanswered and stop reading from open ones.

        Connections from this process fill the accept queue, so that the kernel accepts no further one.
        """
        if self._is_listening:
            self._loop.remove_reader(self._socket)
            self._socket.listen(0)
            self._is_listening = False
            self._fill_backlog()
        for connection in self.connections:
            connection.transport.pause_reading()
        self._tasks.spawn(self._watch_paused_connections())

    async def _watch_paused_connections(self) -> None:
        """Close connections that their callers close, although nothing is read from them."""
        while self._backlog_fillers:
            for connection in list(self.connections):
                if connection.caller_has_closed():
                    connection.reset()
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)

    def _fill_backlog(self) -> None:
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._backlog_fillers.append(filler)

    def end_unresponsiveness(self) -> None:
        """If the endpoint is unresponsive, empty its accept queue and reset all open connections."""
        if not self._backlog_fillers:
            return
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers = []
        self._reset_connections()

    def _reset_connections(self) -> None:
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Close the socket and all connections."""
        self.refuse_connections()
        self._socket.close()
