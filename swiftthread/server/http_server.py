"""HTTP server: accepts clients and serves their requests."""

# A connection has no task. It takes turns: when input arrives, it reads at most one buffer and handles at
# most one request, then the other connections have theirs. What it holds meanwhile is reserved in the account
# of memory; when that is used up, the request that holds most without being complete is answered 503.

import math
import socket
from collections import Counter
from collections.abc import Callable, Container
from functools import partial
from itertools import islice
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps, Work
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.socket_watcher import SocketWatcher
from swiftthread.network.tcp_connection import ConnectionClosed
from swiftthread.server.admission_queue import AdmissionPolicy, AdmissionQueue
from swiftthread.server.client_close_reason import ClientCloseReason
from swiftthread.server.client_connection import CONNECTION_BYTES, REQUEST_BYTES, ClientConnection
from swiftthread.server.connection_table import (
    INACTIVE_STATES,
    MAX_EVICTION_CANDIDATES,
    NEW_GRACE_S,
    ConnectionState,
    ConnectionTable,
)
from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import AdmissionResult, BadRequest, Submitter
from swiftthread.server.request_parser import ParsedRequest, RequestParser
from swiftthread.server.response import CONTINUE_RESPONSE, encode_response
from swiftthread.server.submission import Request, parse_submission
from swiftthread.server.turns import TurnQueue
from swiftthread.storage.pending_event import PendingEvent

# Time during which the rest of a bad request is read and discarded; enough for 60 MB on loopback.
BAD_REQUEST_DRAIN_MS = 3000.0
# Time in which `finish_shutdown` answers and closes all connections. It begins at least 0.3 s before SIGKILL.
SHUTDOWN_TIMEOUT_S = 0.2
SHUTDOWN_POLL_INTERVAL_S = 0.005
CAPACITY_POLL_INTERVAL_S = 0.01
# Interval at which connections are checked for time-outs.
TIMEOUT_CHECK_INTERVAL_S = 0.05
# A client sends a request at once. If all connections are in use, one is evicted for a new client whose
# request is incomplete and has not gone on for this time.
STALLED_AFTER_MS = 100.0
# Pause after a failure to accept a client; the usual cause is that no file descriptor is free.
ACCEPT_RETRY_PAUSE_S = 0.05
# Clients that are accepted before the connected ones have their turn, and during each poll of a shutdown.
MAX_ACCEPTS_PER_TURN = 8
MAX_ACCEPTS_PER_SHUTDOWN_POLL = 64
# An incomplete request is rejected in favour of another one up to this many times its size.
MAX_EVICTION_RATIO = 2.0
EVENT_ACCEPTED = HttpStatus.ACCEPTED
# The connection is closed after these responses, because the client and the node disagree about the request.
CLOSING_STATUSES = (HttpStatus.BAD_REQUEST, HttpStatus.CONFLICT)
# Looked up once, because the state is compared in every turn.
IN_REQUEST = ConnectionState.IN_REQUEST
CLOSING = ConnectionState.CLOSING


class ClientLeft(Exception):
    """The client of a submission has closed its connection."""


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
        admit: Callable[[PendingEvent, Submitter], AdmissionResult],
        stream_types: Container[str],
        buffers: BufferPool,
        limits: ConnectionLimits,
        memory: MemoryAccount,
        hold_ups: HoldUps,
        log_clock: Callable[[], float],
        first_request_timeout_ms: float,
        request_timeout_ms: float,
        idle_timeout_ms: float,
        admission: AdmissionPolicy,
        request_cycle: Callable[[], None],
    ) -> None:
        # Create a server; `serve` runs it. `admit` decides whether the node accepts an event that came on a
        # connection, and returns the result for its client. `stream_types` are the names of the stream types
        # that the node serves. `buffers` are the receive buffers. `limits` are the limits on the number of
        # client connections. `memory` is the account of the memory that requests hold. `hold_ups` records how
        # long turns take. `log_clock` returns the time in ms on the clock of the write-ahead log.
        # `first_request_timeout_ms` is the longest time from the accept to the last byte of a connection's
        # first request. `request_timeout_ms` is the longest time from the first byte of a request to its last
        # byte. `idle_timeout_ms` is the longest time from a response to the first byte of the next request.
        # `admission` limits how many requests may be read. `request_cycle` requests a scheduling cycle,
        # during which the caller must call `admit_waiting`.
        self.limits = limits
        self.connections = ConnectionTable()
        self.is_shutting_down = False  # once True, each response closes its connection
        self._admit = admit
        self._stream_types = stream_types
        self._buffers = buffers
        self._memory = memory
        self._hold_ups = hold_ups
        self._log_clock = log_clock
        self._first_request_timeout_s = first_request_timeout_ms / 1000.0
        self._request_timeout_s = request_timeout_ms / 1000.0
        self._idle_timeout_s = idle_timeout_ms / 1000.0
        self._request_cycle = request_cycle
        self._admission_queue = AdmissionQueue(admission, request_cycle)
        self._watcher = SocketWatcher()
        self._turns = TurnQueue(
            self._run_turn, self._begins_request, self._watcher.call_in_next_iteration, monotonic_ms
        )
        self._has_clients = anyio.Event()
        self._close_counts: Counter[ClientCloseReason] = Counter()
        self.accepted_count = 0
        """Connections accepted since the start."""

    async def serve(self, listener: socket.socket, tasks: TaskGroup) -> None:
        """Accept clients until the task is cancelled or the listener is closed."""
        # Clients connect to the listening socket `listener`. `tasks` runs the check for time-outs.
        tasks.start_soon(self._check_timeouts)
        while True:
            try:
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    await self._wait_for_capacity()
                    self._accept(listener)
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
        admission = self._admission_queue.admit_waiting()
        for connection in admission.given_up:
            self._end(connection, ClientCloseReason.CLIENT_LEFT)
        for connection in admission.admitted:
            connection.is_admitted = True
            self._turns.queue(connection)

    def waiting_count(self) -> int:
        """Return how many connections wait until their request may be read."""
        return len(self._admission_queue)

    def take_close_counts(self) -> Counter[ClientCloseReason]:
        """Return how many connections ended since the previous call, by reason."""
        counts = self._close_counts
        self._close_counts = Counter()
        return counts

    def begin_shutdown(self) -> None:
        """Begin the shutdown."""
        # Connections between requests are closed now, the others with their next response. Connections
        # accepted less than NEW_GRACE_S ago stay open, because their request may be on its way.
        self.is_shutting_down = True
        self._begin_close_of_inactive(anyio.current_time() - NEW_GRACE_S)

    def has_pending_responses(self) -> bool:
        """Return whether any client waits for a response to a request."""
        # The request may be read or still unread.
        return bool(
            self.connections.count(ConnectionState.IN_REQUEST)
            or self._admission_queue
            or self.connections.has_unread_request()
        )

    async def finish_shutdown(self, listener: socket.socket) -> None:
        """Finish the shutdown."""
        # The listener is closed, the requests received are answered, and all connections are closed. Closing
        # a socket with unread bytes sends a reset, which may overtake a response. Each connection therefore
        # gets time for its request to be read and answered.
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
            is_backlog_empty = False
            while len(self.connections) or not is_backlog_empty:
                is_backlog_empty = is_backlog_empty or self._accept_backlog(listener)
                self._begin_close_of_inactive(math.inf)
                self._request_cycle()  # waiting requests are admitted in a scheduling cycle
                await anyio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        anyio.notify_closing(listener)
        listener.close()
        for connection in self.connections.all():
            self._close(connection)

    def _accept_backlog(self, listener: socket.socket) -> bool:
        # Accept the clients that wait to be accepted, while there is capacity; return whether none is left.
        try:
            for _ in range(MAX_ACCEPTS_PER_SHUTDOWN_POLL):
                if self._is_full() and not self._evict_one():
                    break
                self._accept(listener)
        except BlockingIOError:
            return True
        except OSError:
            return listener.fileno() < 0
        return False

    def _accept(self, listener: socket.socket) -> None:
        sock, _ = listener.accept()
        connection = ClientConnection(sock, self._buffers, self._watcher, self._memory)
        connection.enable_timestamps()
        connection.times_out_at = anyio.current_time() + self._first_request_timeout_s
        self.accepted_count += 1
        self.connections.add(connection)
        self._has_clients.set()
        self._turns.run_or_queue(connection)  # most clients have sent their request by now

    async def _wait_for_capacity(self) -> None:
        # Wait until one more connection may be open; meanwhile new clients wait in the listen backlog.
        while self._is_full():
            if not self._evict_one():
                await anyio.sleep(CAPACITY_POLL_INTERVAL_S)

    def _evict_one(self) -> bool:
        # Evict a connection for a new one; return whether there was one.
        is_evicted = self.connections.evict_one() or self._evict_stalled_request()
        self._close_counts[ClientCloseReason.CONNECTION_LIMIT] += is_evicted
        return is_evicted

    def _evict_stalled_request(self) -> bool:
        # Evict a connection whose request has stopped to arrive; return whether there was one. It gets a 503,
        # because the client may submit the event again.
        stalled_since = monotonic_ms() - STALLED_AFTER_MS
        for connection, _ in islice(self.connections.in_state(IN_REQUEST), MAX_EVICTION_CANDIDATES):
            if connection.last_read_at < stalled_since and connection.has_nothing_to_read():
                response = encode_response(HttpStatus.SERVICE_UNAVAILABLE, closes_connection=True)
                connection.send_if_possible(response)
                self._close(connection)
                return True
        return False

    def _begin_close_of_inactive(self, new_accepted_by: float) -> None:
        closed_count = self.connections.begin_close_of_inactive(new_accepted_by)
        self._close_counts[ClientCloseReason.SHUTDOWN] += closed_count

    def _is_full(self) -> bool:
        max_clients = self._memory.limit_of(MemoryUse.CONNECTIONS) // CONNECTION_BYTES
        return len(self.connections) >= min(self.limits.max_clients, max_clients)

    def _is_at_idle_limit(self) -> bool:
        # Return whether the connections that stay open between requests have reached their limit.
        #
        # Without this limit, clients that send one request and stay connected would hold all connections that
        # clients may have open, and none of them could send another request.
        idle_count = self.connections.count(ConnectionState.IDLE_CLIENT)
        idle_count += self.connections.count(ConnectionState.IDLE_WITHOUT_EVENT)
        return idle_count >= self.limits.max_idle_clients

    def _begins_request(self, connection: ClientConnection) -> bool:
        return self.connections.state_of(connection) in INACTIVE_STATES

    def _run_turn(self, connection: ClientConnection) -> None:
        # Run one turn of a connection. Whatever fails in it closes this connection only.
        began_at = monotonic_ms()
        try:
            self._take_turn(connection)
        except ConnectionClosed:
            self._end(connection, ClientCloseReason.CLOSED_BY_CLIENT)
        except Exception:  # protects the other clients: an error here closes only this connection
            logger.exception("serving a client connection failed; the connection is closed")
            self._end(connection, ClientCloseReason.ERROR)
        self._hold_ups.record(Work.CLIENTS, began_at)

    def _take_turn(self, connection: ClientConnection) -> None:
        state = self.connections.state_of(connection)
        if state is None or connection.has_unsent_output:
            return
        if state is CLOSING:
            if connection.discard_available():
                self._close(connection)
            else:
                self._watch(connection)
        elif state is IN_REQUEST:
            self._continue_request(connection)
        elif not connection.has_nothing_to_read():
            if connection.is_admitted or self._admission_queue.try_admit(connection):
                connection.is_admitted = False
                connection.counts_as_admitted = True
                self._begin_request(connection)
            else:
                connection.unwatch()
        else:
            self._watch(connection)

    def _watch(self, connection: ClientConnection) -> None:
        if not connection.is_watched:
            connection.watch_input(partial(self._on_input, connection))

    def _on_input(self, connection: ClientConnection) -> None:
        if not self._turns.run_or_queue(connection):
            connection.unwatch()  # it is watched again after its turn

    def _begin_request(self, connection: ClientConnection) -> None:
        # Read the first bytes of a request that was admitted.
        if connection.parser is None:
            data = connection.receive_available()
            if data is None:  # a false alarm
                self._watch(connection)
                return
            if not data:  # the client closed the connection
                raise ConnectionClosed(request_was_written=True)
            connection.parser = RequestParser()
            connection.parser.receive(data)
        connection.request_received_at = connection.received_at
        self.connections.set_state(connection, IN_REQUEST)
        times_out_at = anyio.current_time() + self._request_timeout_s
        if connection.is_first_request:
            times_out_at = min(times_out_at, connection.times_out_at)
        connection.times_out_at = times_out_at
        self._parse(connection, connection.parser)

    def _continue_request(self, connection: ClientConnection) -> None:
        assert connection.parser is not None  # it is set while the request arrives
        if not connection.parser.has_input:
            data = connection.receive_available()
            if data == b"":  # the client closed in the middle of the request
                raise ConnectionClosed(request_was_written=True)
            if data:
                connection.parser.receive(data)
        self._parse(connection, connection.parser)

    def _parse(self, connection: ClientConnection, parser: RequestParser) -> None:
        # Parse what has arrived of the request, and handle the request if it is complete.
        try:
            request = parser.next_request()
            if request is not None:
                connection.counts_as_admitted = False
                self._respond(connection, self._handle(connection, request), request.allows_next_request)
                return
        except BadRequest as error:
            self._return_admission(connection)
            self._reject(connection, error.status, ClientCloseReason.BAD_REQUEST)
            return
        except ClientLeft:
            self._reject(connection, HttpStatus.SERVICE_UNAVAILABLE, ClientCloseReason.CLIENT_LEFT)
            return
        self._return_admission(connection)
        if not self._reserve_memory(connection, REQUEST_BYTES + parser.held_bytes):
            self._reject(connection, HttpStatus.SERVICE_UNAVAILABLE, ClientCloseReason.MEMORY)
            return
        if parser.expects_continue:
            connection.send_if_possible(CONTINUE_RESPONSE)
        self._watch_or_schedule(connection)

    def _return_admission(self, connection: ClientConnection) -> None:
        # The overload control limits the requests from which events may follow. One that is not complete with
        # its first bytes, or is invalid, leaves its place to another.
        if connection.counts_as_admitted:
            connection.counts_as_admitted = False
            if self._admission_queue.return_unused():
                self.admit_waiting()

    def _watch_or_schedule(self, connection: ClientConnection) -> None:
        # The next turn comes with further input, or in the next iteration if there is input to be parsed.
        if connection.parser is not None and connection.parser.has_input:
            self._turns.queue(connection)
        else:
            self._watch(connection)

    def _reserve_memory(self, connection: ClientConnection, size: int) -> bool:
        # Reserve memory for an incomplete request, and reject larger ones for that; return whether it fits.
        while not connection.try_reserve(size):
            in_request = self.connections.in_state(IN_REQUEST)
            others = (other for other, _ in in_request if other is not connection)
            largest = max(others, key=lambda other: other.reserved_bytes, default=None)
            if largest is None or size > MAX_EVICTION_RATIO * largest.reserved_bytes:
                return False
            self._evict_request(largest)
        return True

    def _evict_request(self, connection: ClientConnection) -> None:
        if connection.has_unsent_output:
            self._end(connection, ClientCloseReason.RESPONSE_NOT_READ)
        else:
            self._reject(connection, HttpStatus.SERVICE_UNAVAILABLE, ClientCloseReason.MEMORY)

    def _handle(self, connection: ClientConnection, parsed: ParsedRequest) -> AdmissionResult:
        # Return the result with which a request is answered. BadRequest is raised if the request is answered
        # with an error status, after which its connection is closed. ClientLeft is raised if the client has
        # closed its connection: it may submit the event elsewhere, so the event is not accepted. One that has
        # closed its sending side alone cannot be told from it.
        received_at = connection.request_received_at
        age_ms = 0.0 if received_at is None else monotonic_ms() - received_at
        request = Request(parsed.head, parsed.body, self._log_clock() - age_ms)
        if request.is_health_check():
            return AdmissionResult(HttpStatus.SERVICE_UNAVAILABLE if self.is_shutting_down else HttpStatus.OK)
        pending = parse_submission(request, self._stream_types)
        if connection.peer_has_closed():
            raise ClientLeft
        result = self._admit(pending, connection.submitter)
        if result.status in CLOSING_STATUSES:
            raise BadRequest(result.status)
        return result

    def _respond(
        self, connection: ClientConnection, result: AdmissionResult, allows_next_request: bool
    ) -> None:
        if result.status == EVENT_ACCEPTED:
            connection.has_submitted_event = True
        closes_connection = self.is_shutting_down or not allows_next_request
        closes_connection |= connection.is_first_request and self._is_at_idle_limit()
        connection.is_first_request = False
        response = encode_response(result.status, closes_connection, result.retry_after_ms)
        connection.send(response, partial(self._finish_response, connection, result, closes_connection))

    def _finish_response(
        self, connection: ClientConnection, result: AdmissionResult, closes_connection: bool
    ) -> None:
        # Continue after the response was written, or could not be written.
        if result.on_response_finished is not None:  # the event is accepted even if its client has closed
            result.on_response_finished()
        if not connection.is_open:
            return
        if connection.is_broken:
            self._end(connection, ClientCloseReason.CLOSED_BY_CLIENT)
        elif closes_connection:
            self._begin_graceful_close(connection, ClientCloseReason.LAST_RESPONSE)
        else:
            self._begin_idle(connection)

    def _begin_idle(self, connection: ClientConnection) -> None:
        state = (
            ConnectionState.IDLE_CLIENT
            if connection.has_submitted_event
            else ConnectionState.IDLE_WITHOUT_EVENT
        )
        self.connections.set_state(connection, state)
        connection.times_out_at = anyio.current_time() + self._idle_timeout_s
        if connection.parser is not None and connection.parser.has_input:
            connection.try_reserve(REQUEST_BYTES + connection.parser.held_bytes)
        else:
            self._release_request(connection)
        self._watch_or_schedule(connection)

    def _release_request(self, connection: ClientConnection) -> None:
        connection.parser = None
        connection.try_reserve(0)

    def _reject(self, connection: ClientConnection, status: int, reason: ClientCloseReason) -> None:
        # Answer a request with an error status. Its rest is read and discarded, so that a reset does not
        # overtake the response.
        connection.send_if_possible(encode_response(status, closes_connection=True))
        self._begin_graceful_close(connection, reason)
        connection.times_out_at = anyio.current_time() + BAD_REQUEST_DRAIN_MS / 1000.0

    def _begin_graceful_close(self, connection: ClientConnection, reason: ClientCloseReason) -> None:
        # Shut down the node's side and wait for the client to close; bytes that arrive are discarded.
        self._close_counts[reason] += 1
        self._release_request(connection)
        self.connections.begin_close(connection)
        self._watch(connection)

    def _end(self, connection: ClientConnection, reason: ClientCloseReason) -> None:
        # Close a connection. The reason for one whose close has begun is counted already.
        if self.connections.state_of(connection) not in (None, CLOSING):
            self._close_counts[reason] += 1
        self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        self._admission_queue.remove(connection)
        self._turns.remove(connection)
        self.connections.close(connection)

    async def _check_timeouts(self) -> None:
        # Close connections that time out, until cancelled.
        while True:
            if not len(self.connections):
                self._has_clients = anyio.Event()
                await self._has_clients.wait()
            now = anyio.current_time()
            for connection in self.connections.timed_out(now):
                if connection.is_open and connection.times_out_at <= now:
                    self._end_timed_out(connection)
            await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)

    def _end_timed_out(self, connection: ClientConnection) -> None:
        state = self.connections.state_of(connection)
        if state is CLOSING or connection.has_unsent_output:
            self._end(connection, ClientCloseReason.RESPONSE_NOT_READ)
        elif state is IN_REQUEST:
            # What has arrived at the same time as the time-out is read first.
            self._run_turn(connection)
            if self.connections.state_of(connection) is IN_REQUEST:
                self._reject(connection, HttpStatus.REQUEST_TIMEOUT, ClientCloseReason.REQUEST_TIMEOUT)
        elif connection.has_nothing_to_read():
            self._begin_graceful_close(connection, ClientCloseReason.IDLE_TIMEOUT)
        else:  # the request arrived at the same time as the time-out: it is read, whether admitted or not
            self._admission_queue.remove(connection)
            connection.is_admitted = True
            self._turns.queue(connection)


async def _wait_for_client(listener: socket.socket) -> bool:
    # Wait until a client connects; return False once the listener is closed.
    try:
        await anyio.wait_readable(listener)
    except (anyio.ClosedResourceError, OSError, ValueError):
        return False
    return True
