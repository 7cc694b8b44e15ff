"""HTTP server: accepts clients and serves their requests."""

# The requests of each connection are served one after the other.

import contextlib
import math
import socket
from collections.abc import Callable, Container
from typing import Protocol

import anyio
import h11
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, ConnectionClosed
from swiftthread.server.admission_queue import AdmissionPolicy, AdmissionQueue
from swiftthread.server.connection_table import NEW_GRACE_S, ConnectionState, ConnectionTable
from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import AdmissionResult, BadRequest
from swiftthread.server.request_reader import RequestReader
from swiftthread.server.response import write_response
from swiftthread.server.submission import Request, parse_submission
from swiftthread.storage.pending_event import PendingEvent

MAX_HEAD_BYTES = 16 * 1024  # of a request line with its headers
# Time during which the rest of a bad request is read and discarded; enough for 60 MB on loopback.
BAD_REQUEST_DRAIN_MS = 3000.0
# Time that a client has to close its side after the node has. Longer than the 0.4 s that a client waits for a
# response.
CLOSE_TIMEOUT_MS = 500.0
# Time in which `finish_shutdown` answers and closes all connections. It begins at least 0.3 s before SIGKILL.
SHUTDOWN_TIMEOUT_S = 0.2
SHUTDOWN_POLL_INTERVAL_S = 0.005
CAPACITY_POLL_INTERVAL_S = 0.01
# Pause after a failure to accept a client; the usual cause is that no file descriptor is free.
ACCEPT_RETRY_PAUSE_S = 0.05
EVENT_ACCEPTED = HttpStatus.ACCEPTED
# The connection is closed after these responses, because the client and the node disagree about the request.
CLOSING_STATUSES = (HttpStatus.BAD_REQUEST, HttpStatus.CONFLICT)


class ConnectionLimits(Protocol):
    """Limits on the number of client connections."""

    max_clients: int
    """Client connections that may be open at the same time."""
    max_idle_clients: int
    """Client connections that stay open between requests."""


class HttpServer:
    """Accepts the connections of a listener and serves their requests."""

    def __init__(
        self,
        admit: Callable[[PendingEvent], AdmissionResult],
        stream_types: Container[str],
        buffers: BufferPool,
        limits: ConnectionLimits,
        log_clock: Callable[[], float],
        first_request_timeout_ms: float,
        request_timeout_ms: float,
        idle_timeout_ms: float,
        admission: AdmissionPolicy,
        request_cycle: Callable[[], None],
    ) -> None:
        # Create a server; `serve` runs it. `admit` decides whether the node accepts an event, and returns the
        # result for its client. `stream_types` are the names of the stream types that the node serves.
        # `buffers` are the receive buffers. `limits` are the limits on the number of client connections.
        # `log_clock` returns the time in ms on the clock of the write-ahead log. `first_request_timeout_ms`
        # is the longest time from the accept to the last byte of a connection's first request.
        # `request_timeout_ms` is the longest time from the first byte of a request to its last byte.
        # `idle_timeout_ms` is the longest time from a response to the first byte of the next request.
        # `admission` limits how many requests may be read. `request_cycle` requests a scheduling cycle,
        # during which the caller must call `admit_waiting`.
        self.limits = limits
        self.connections = ConnectionTable()
        self.is_shutting_down = False  # once True, each response closes its connection
        self._admit = admit
        self._stream_types = stream_types
        self._buffers = buffers
        self._request_cycle = request_cycle
        self._admission_queue = AdmissionQueue(admission, request_cycle)
        self._reader = RequestReader(
            self.connections,
            self._admission_queue,
            log_clock,
            first_request_timeout_ms,
            request_timeout_ms,
            idle_timeout_ms,
        )

    async def serve(self, listener: socket.socket, tasks: TaskGroup) -> None:
        """Accept clients until the task is cancelled or the listener is closed."""
        # Clients connect to the listening socket `listener`. `tasks` runs one task for each connection.
        while True:
            try:
                await self._wait_for_capacity()
                self._accept(listener, tasks)
                # The new connection's task runs first: it reads what the client has sent, and may close the
                # connection again.
                await checkpoint()
                continue
            except BlockingIOError:
                if not await _wait_for_client(listener):
                    return
                continue
            except OSError as error:
                if listener.fileno() < 0:
                    return
                logger.warning("a client could not be accepted: {}; retrying after a pause", error.strerror)
            except Exception:  # protects the connected clients: the server goes on accepting
                logger.exception("a client could not be accepted; the server goes on accepting after a pause")
            await anyio.sleep(ACCEPT_RETRY_PAUSE_S)

    def admit_waiting(self) -> None:
        """Admit as many waiting requests as may be read in this scheduling cycle."""
        self._admission_queue.admit_waiting()

    def begin_shutdown(self) -> None:
        """Begin the shutdown."""
        # Connections between requests are closed now, the others with their next response. Connections
        # accepted less than NEW_GRACE_S ago stay open, because their request may be on its way.
        self.is_shutting_down = True
        self.connections.begin_close_of_inactive(anyio.current_time() - NEW_GRACE_S)

    def has_pending_responses(self) -> bool:
        """Return whether any client waits for a response to a request."""
        # The request may be read or still unread.
        return bool(
            self.connections.count(ConnectionState.IN_REQUEST)
            or self._admission_queue
            or self.connections.has_unread_request()
        )

    async def finish_shutdown(self, listener: socket.socket, tasks: TaskGroup) -> None:
        """Finish the shutdown."""
        # The listener is closed, the requests received are answered, and all connections are closed. Closing
        # a socket with unread bytes sends a reset, which may overtake a response. Each connection therefore
        # gets time for its request to be read and answered.
        with contextlib.suppress(OSError):  # raised once no connection waits to be accepted
            while True:
                self._accept(listener, tasks)
        anyio.notify_closing(listener)
        listener.close()
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
            while len(self.connections):
                self.connections.begin_close_of_inactive(math.inf)
                self._request_cycle()  # waiting requests are admitted in a scheduling cycle
                await anyio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    def _accept(self, listener: socket.socket, tasks: TaskGroup) -> None:
        sock, _ = listener.accept()
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        connection = Connection(sock, self._buffers, parser).enable_timestamps()
        self.connections.add(connection)
        tasks.start_soon(self._serve_client, connection)

    async def _wait_for_capacity(self) -> None:
        # Wait until one more connection may be open; meanwhile new clients wait in the listen backlog.
        while len(self.connections) >= self.limits.max_clients:
            if not self.connections.evict_one():
                await anyio.sleep(CAPACITY_POLL_INTERVAL_S)

    def _is_at_idle_limit(self) -> bool:
        # Return whether the connections that stay open between requests have reached their limit.
        #
        # Without this limit, clients that send one request and stay connected would hold all connections that
        # clients may have open, and none of them could send another request.
        idle_count = self.connections.count(ConnectionState.IDLE_CLIENT)
        idle_count += self.connections.count(ConnectionState.IDLE_WITHOUT_EVENT)
        return idle_count >= self.limits.max_idle_clients

    async def _serve_client(self, connection: Connection) -> None:
        # Serve a connection until it closes or fails; the connection is closed in every case.
        try:
            await self._serve_requests(connection)
        except ConnectionClosed:  # closed by the client, timed out, or closed by the node between requests
            if self.connections.state_of(connection) not in (None, ConnectionState.IN_REQUEST):
                await self._close_gracefully(connection, CLOSE_TIMEOUT_MS)
        except Exception:  # protects the other clients: an error here closes only this connection
            logger.exception("serving a client connection failed; the connection is closed")
        finally:
            self.connections.close(connection)

    async def _serve_requests(self, connection: Connection) -> None:
        # Read and answer requests until one of them closes the connection.
        is_first = True
        idle_state = ConnectionState.IDLE_WITHOUT_EVENT
        while True:
            try:
                request = await self._reader.read(connection, is_first)
                result = self._handle(request)
            except BadRequest as error:
                await write_response(connection, error.status, closes_connection=True)
                await self._close_gracefully(connection, BAD_REQUEST_DRAIN_MS)
                return
            if result.status == EVENT_ACCEPTED:
                idle_state = ConnectionState.IDLE_CLIENT
            closes_connection = self.is_shutting_down or is_first and self._is_at_idle_limit()
            is_first = False
            await self._respond(connection, result, closes_connection)
            if closes_connection or not _allows_next_request(connection):
                await self._close_gracefully(connection, CLOSE_TIMEOUT_MS)
                return
            connection.parser.start_next_cycle()
            self.connections.set_state(connection, idle_state)
            await checkpoint()  # so that pipelined requests do not hold up the other connections

    def _handle(self, request: Request) -> AdmissionResult:
        # Return the result with which a request is answered. BadRequest is raised if the request is answered
        # with an error status, after which its connection is closed.
        if request.is_health_check():
            return AdmissionResult(HttpStatus.SERVICE_UNAVAILABLE if self.is_shutting_down else HttpStatus.OK)
        result = self._admit(parse_submission(request, self._stream_types))
        if result.status in CLOSING_STATUSES:
            raise BadRequest(result.status)
        return result

    @staticmethod
    async def _respond(connection: Connection, result: AdmissionResult, closes_connection: bool) -> None:
        try:
            await write_response(connection, result.status, closes_connection, result.retry_after_ms)
        finally:
            if result.on_response_finished is not None:  # the event is accepted even if its client has closed
                result.on_response_finished()

    async def _close_gracefully(self, connection: Connection, timeout_ms: float) -> None:
        # Shut down the node's side and wait for the client to close; bytes that arrive are discarded.
        self.connections.set_state(connection, ConnectionState.CLOSING)
        await connection.shutdown_and_drain(timeout_ms)


async def _wait_for_client(listener: socket.socket) -> bool:
    # Wait until a client connects; return False once the listener is closed.
    try:
        await anyio.wait_readable(listener)
    except (anyio.ClosedResourceError, OSError, ValueError):
        return False
    return True


def _allows_next_request(connection: Connection) -> bool:
    return connection.parser.our_state is h11.DONE and connection.parser.their_state is h11.DONE
