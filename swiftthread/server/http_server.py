"""The server: accepts clients, and serves each connection's requests one after the other."""

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
from swiftthread.server.admission_queue import Admission, AdmissionQueue
from swiftthread.server.connection_table import NEW_GRACE_S, ConnectionState, ConnectionTable
from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import AdmissionResult, BadRequest
from swiftthread.server.request_reader import RequestReader
from swiftthread.server.response import write_response
from swiftthread.server.submission import Request, parse_submission
from swiftthread.storage.pending_event import PendingEvent

MAX_HEAD_BYTES = 16 * 1024  # of a request's line and headers
# For the rest of a bad request, which is read and dropped; 60 MB on loopback.
BAD_REQUEST_DRAIN_MS = 3000.0
# For a client to close too, once we have; over the 0.4 s that it waits for an answer.
CLOSE_TIMEOUT_MS = 500.0
# For all of that at the end of a shutdown; the SIGKILL comes 0.3 s after it at the soonest.
SHUTDOWN_TIMEOUT_S = 0.2
SHUTDOWN_POLL_S = 0.005
CAPACITY_POLL_S = 0.01
# After a client that could not be accepted: no descriptor is free, most often.
ACCEPT_PAUSE_S = 0.05
EVENT_ADMITTED = HttpStatus.ACCEPTED
# Answers after which the connection ends, for the client and the node do not understand each other.
CLOSING_STATUSES = (HttpStatus.BAD_REQUEST, HttpStatus.CONFLICT)


class ConnectionLimits(Protocol):
    """How many connections clients may have."""

    max_clients: int
    """In all."""
    max_idle_clients: int
    """Kept between requests."""


class HttpServer:
    """Owner of the listener's connections."""

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
        admission: Admission,
        request_cycle: Callable[[], None],
    ) -> None:
        """Create a server; `serve` runs it.

        Args:
            admit: Says whether the node admits an event.
            stream_types: Names of the stream types that the node serves.
            buffers: Receive buffers.
            limits: How many connections clients may have.
            log_clock: Gives ms on the clock of the log.
            first_request_timeout_ms: From the accept to the last byte of a connection's first request.
            request_timeout_ms: From the first byte of a request to its last.
            idle_timeout_ms: From an answer to the first byte of the next request.
            admission: Bounds how many requests may be read.
            request_cycle: Asks the scheduler for a cycle, in which `admit_waiting` is to be called.
        """
        self.limits = limits
        self.connections = ConnectionTable()
        self.is_shutting_down = False  # then each answer closes its connection
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
        """Accept clients until cancelled, or the listener is closed.

        Args:
            listener: Where clients connect.
            tasks: Runs a task for each connection.
        """
        while True:
            try:
                await self._wait_for_capacity()
                self._accept(listener, tasks)
                # What the client has sent is read before others are accepted, and maybe it is closed then.
                await checkpoint()
                continue
            except BlockingIOError:
                if not await _wait_for_client(listener):
                    return
                continue
            except OSError as error:
                if listener.fileno() < 0:
                    return
                logger.warning("a client could not be accepted: {}", error.strerror)
            except Exception:  # protects the connected clients: the next one is accepted all the same
                logger.exception("a client could not be accepted")
            await anyio.sleep(ACCEPT_PAUSE_S)

    def admit_waiting(self) -> None:
        """Let as many waiting requests be read as may be in this scheduling cycle."""
        self._admission_queue.admit_waiting()

    def close_idle(self) -> None:
        """Begin the shutdown: connections between requests are closed, the others by their next answer.

        One that was accepted a moment ago is spared: its request may be on its way.
        """
        self.is_shutting_down = True
        self.connections.begin_close_of_quiet(anyio.current_time() - NEW_GRACE_S)

    def has_pending_responses(self) -> bool:
        """Whether any client waits for an answer: to a request read or not."""
        return bool(
            self.connections.count(ConnectionState.IN_REQUEST)
            or self._admission_queue
            or self.connections.has_unread_request()
        )

    async def finish(self, listener: socket.socket, tasks: TaskGroup) -> None:
        """End the shutdown: close the listener, answer who has asked, and close all connections.

        A close over unread bytes is a reset, which may overtake an answer: so each connection has time to be
        read and answered.
        """
        with contextlib.suppress(OSError):  # raised once nobody waits to be accepted
            while True:
                self._accept(listener, tasks)
        anyio.notify_closing(listener)
        listener.close()
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
            while len(self.connections):
                self.connections.begin_close_of_quiet(math.inf)
                self._request_cycle()  # waiting requests are admitted in a scheduling cycle
                await anyio.sleep(SHUTDOWN_POLL_S)

    def _accept(self, listener: socket.socket, tasks: TaskGroup) -> None:
        sock, _ = listener.accept()
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        connection = Connection(sock, self._buffers, parser).enable_timestamps()
        self.connections.add(connection)
        tasks.start_soon(self._serve_client, connection)

    async def _wait_for_capacity(self) -> None:
        """Wait until one more connection may be held; clients to come wait in the listener meanwhile."""
        while len(self.connections) >= self.limits.max_clients:
            if not self.connections.evict_one():
                await anyio.sleep(CAPACITY_POLL_S)

    def _is_at_idle_limit(self) -> bool:
        """Whether so many connections are kept between requests that one more is not.

        Clients that ask once and stay would hold all that they may have open, and none of them could ask
        again.
        """
        idle = self.connections.count(ConnectionState.IDLE_CLIENT)
        idle += self.connections.count(ConnectionState.IDLE_WITHOUT_EVENT)
        return idle >= self.limits.max_idle_clients

    async def _serve_client(self, connection: Connection) -> None:
        """Run a connection's task: whatever ends it, the connection is closed."""
        try:
            await self._serve_requests(connection)
        except ConnectionClosed:  # gone, silent, or closed by us between requests
            if self.connections.state_of(connection) not in (None, ConnectionState.IN_REQUEST):
                await self._close_gracefully(connection, CLOSE_TIMEOUT_MS)
        except Exception:  # protects the other clients: a fault here ends this connection alone
            logger.exception("a client's connection failed")
        finally:
            self.connections.close(connection)

    async def _serve_requests(self, connection: Connection) -> None:
        """Read and answer requests until one ends the connection."""
        is_first = True
        idle_state = ConnectionState.IDLE_WITHOUT_EVENT
        while True:
            try:
                request = await self._reader.read(connection, is_first)
                result = self._handle(request)
            except BadRequest as error:
                await write_response(connection, error.status, closes=True)
                await self._close_gracefully(connection, BAD_REQUEST_DRAIN_MS)
                return
            if result.status == EVENT_ADMITTED:
                idle_state = ConnectionState.IDLE_CLIENT
            closes = self.is_shutting_down or is_first and self._is_at_idle_limit()
            is_first = False
            await self._answer(connection, result, closes)
            if closes or not _allows_next_request(connection):
                await self._close_gracefully(connection, CLOSE_TIMEOUT_MS)
                return
            connection.parser.start_next_cycle()
            self.connections.move(connection, idle_state)
            await checkpoint()  # many requests sent at once on one connection take turns with the others

    def _handle(self, request: Request) -> AdmissionResult:
        """Return the answer to a request.

        Raises:
            BadRequest: it is answered with an error status, and its connection ends.
        """
        if request.is_health_check():
            return AdmissionResult(HttpStatus.SERVICE_UNAVAILABLE if self.is_shutting_down else HttpStatus.OK)
        result = self._admit(parse_submission(request, self._stream_types))
        if result.status in CLOSING_STATUSES:
            raise BadRequest(result.status)
        return result

    @staticmethod
    async def _answer(connection: Connection, result: AdmissionResult, closes: bool) -> None:
        try:
            await write_response(connection, result.status, closes, result.retry_after_ms)
        finally:
            if result.on_answered is not None:  # it is admitted, also when its client is gone
                result.on_answered()

    async def _close_gracefully(self, connection: Connection, timeout_ms: float) -> None:
        """End our side, and wait for the client to close too; what it still sends is dropped."""
        self.connections.move(connection, ConnectionState.CLOSING)
        await connection.shutdown_and_drain(timeout_ms)


async def _wait_for_client(listener: socket.socket) -> bool:
    """Wait until a client connects; False once the listener is closed."""
    try:
        await anyio.wait_readable(listener)
    except (anyio.ClosedResourceError, OSError, ValueError):
        return False
    return True


def _allows_next_request(connection: Connection) -> bool:
    return connection.parser.our_state is h11.DONE and connection.parser.their_state is h11.DONE
