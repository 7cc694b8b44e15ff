"""Serves the requests on the connections of clients."""

# A connection has no task. It takes turns: when input arrives, it reads at most one buffer and handles at
# most one request, then the other connections have theirs. What it holds meanwhile is reserved in the account
# of memory; when that is used up, the request that holds most without being complete is answered 503.

from collections import Counter
from collections.abc import Callable, Container
from functools import partial
from typing import Protocol

import anyio
from loguru import logger

from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps, Work
from swiftthread.network.socket_watcher import SocketWatcher
from swiftthread.network.tcp_connection import ConnectionClosed
from swiftthread.server.admission_queue import AdmissionPolicy, AdmissionQueue
from swiftthread.server.client_close_reason import ClientCloseReason
from swiftthread.server.client_connection import REQUEST_BYTES, ClientConnection
from swiftthread.server.connection_table import INACTIVE_STATES, ConnectionState, ConnectionTable
from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import AdmissionResult, BadRequest, Submitter
from swiftthread.server.request_parser import ParsedRequest, RequestParser
from swiftthread.server.response import CONTINUE_RESPONSE, encode_response
from swiftthread.server.submission import Request, parse_submission
from swiftthread.server.turns import TurnQueue
from swiftthread.storage.pending_event import PendingEvent

# Time during which the rest of a bad request is read and discarded; enough for 60 MB on loopback.
BAD_REQUEST_DRAIN_MS = 3000.0
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


class ConnectionHandler:
    """Serves the requests of all connections, from their accept to their close."""

    def __init__(
        self,
        admit: Callable[[PendingEvent, Submitter], AdmissionResult],
        stream_types: Container[str],
        limits: ConnectionLimits,
        hold_ups: HoldUps,
        log_clock: Callable[[], float],
        first_request_timeout_ms: float,
        request_timeout_ms: float,
        idle_timeout_ms: float,
        admission: AdmissionPolicy,
        request_cycle: Callable[[], None],
    ) -> None:
        # `admit` decides whether the node accepts an event that came on a connection, and returns the result
        # for its client. `stream_types` are the names of the stream types that the node serves. `limits` are
        # the limits on the number of client connections. `hold_ups` records how long turns take. `log_clock`
        # returns the time in ms on the clock of the write-ahead log. `first_request_timeout_ms` is the
        # longest time from the accept to the last byte of a connection's first request. `request_timeout_ms`
        # is the longest time from the first byte of a request to its last byte. `idle_timeout_ms` is the
        # longest time from a response to the first byte of the next request. `admission` limits how many
        # requests may be read. `request_cycle` requests a scheduling cycle.
        self.limits = limits
        self.connections = ConnectionTable()
        self.close_counts: Counter[ClientCloseReason] = Counter()
        """How many connections ended, by reason; cleared by their reader."""
        self.watcher = SocketWatcher()
        self.admission_queue = AdmissionQueue(admission, request_cycle)
        self.is_shutting_down = False  # once True, each response closes its connection
        self._admit = admit
        self._stream_types = stream_types
        self._hold_ups = hold_ups
        self._log_clock = log_clock
        self._first_request_timeout_s = first_request_timeout_ms / 1000.0
        self._request_timeout_s = request_timeout_ms / 1000.0
        self._idle_timeout_s = idle_timeout_ms / 1000.0
        self._turns = TurnQueue(
            self._run_turn, self._begins_request, self.watcher.call_in_next_iteration, monotonic_ms
        )

    def begin(self, connection: ClientConnection) -> None:
        """Serve a connection that was just accepted, until it is closed."""
        connection.times_out_at = anyio.current_time() + self._first_request_timeout_s
        self.connections.add(connection)
        self._turns.run_or_queue(connection)  # most clients have sent their request by now

    def admit_waiting(self) -> None:
        """Admit as many waiting requests as may be read in this scheduling cycle."""
        admission = self.admission_queue.admit_waiting()
        for connection in admission.given_up:
            self.end(connection, ClientCloseReason.CLIENT_LEFT)
        for connection in admission.admitted:
            connection.is_admitted = True
            self._turns.queue(connection)

    def _begins_request(self, connection: ClientConnection) -> bool:
        return self.connections.state_of(connection) in INACTIVE_STATES

    def _run_turn(self, connection: ClientConnection) -> None:
        began_at = monotonic_ms()
        self._protect(connection, partial(self._take_turn, connection))
        self._hold_ups.record(Work.CLIENTS, began_at)

    def _protect(self, connection: ClientConnection, work: Callable[[], None]) -> None:
        # Do work for a connection. Whatever fails in it closes this connection only.
        try:
            work()
        except ConnectionClosed:
            self.end(connection, ClientCloseReason.CLOSED_BY_CLIENT)
        except Exception:  # protects the other clients: an error here closes only this connection
            logger.exception("serving a client connection failed; the connection is closed")
            self.end(connection, ClientCloseReason.ERROR)

    def _take_turn(self, connection: ClientConnection) -> None:
        state = self.connections.state_of(connection)
        if state is None or connection.has_unsent_output:
            return
        if state is CLOSING:
            if connection.discard_available():
                self.close(connection)
            else:
                self._watch(connection)
        elif state is IN_REQUEST:
            self._continue_request(connection)
        elif not connection.has_nothing_to_read():
            if connection.is_admitted or self.admission_queue.try_admit(connection):
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
            if self.admission_queue.return_unused():
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
            self.end(connection, ClientCloseReason.RESPONSE_NOT_READ)
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
        finish = partial(self._finish_response, connection, result, closes_connection)
        connection.send(response, partial(self._protect, connection, finish))

    def _finish_response(
        self, connection: ClientConnection, result: AdmissionResult, closes_connection: bool
    ) -> None:
        # Continue after the response was written, or could not be written.
        if result.on_response_finished is not None:  # the event is accepted even if its client has closed
            result.on_response_finished()
        if not connection.is_open:
            return
        if connection.is_broken:
            self.end(connection, ClientCloseReason.CLOSED_BY_CLIENT)
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
        self.close_counts[reason] += 1
        self._release_request(connection)
        self.connections.begin_close(connection)
        self._watch(connection)

    def _is_at_idle_limit(self) -> bool:
        # Return whether the connections that stay open between requests have reached their limit.
        #
        # Without this limit, clients that send one request and stay connected would hold all connections that
        # clients may have open, and none of them could send another request.
        idle_count = self.connections.count(ConnectionState.IDLE_CLIENT)
        idle_count += self.connections.count(ConnectionState.IDLE_WITHOUT_EVENT)
        return idle_count >= self.limits.max_idle_clients

    def end(self, connection: ClientConnection, reason: ClientCloseReason) -> None:
        """Close a connection and count the reason, unless its close has begun and is counted already."""
        if self.connections.state_of(connection) not in (None, CLOSING):
            self.close_counts[reason] += 1
        self.close(connection)

    def close(self, connection: ClientConnection) -> None:
        """Close a connection; its end is counted by the caller."""
        self.admission_queue.remove(connection)
        self._turns.remove(connection)
        self.connections.close(connection)

    def end_timed_out(self, connection: ClientConnection) -> None:
        """End a connection, or the request on it, whose time-out has passed."""
        self._protect(connection, partial(self._end_timed_out, connection))

    def _end_timed_out(self, connection: ClientConnection) -> None:
        state = self.connections.state_of(connection)
        if state is CLOSING or connection.has_unsent_output:
            self.end(connection, ClientCloseReason.RESPONSE_NOT_READ)
        elif state is IN_REQUEST:
            # What has arrived at the same time as the time-out is read first.
            self._run_turn(connection)
            if self.connections.state_of(connection) is IN_REQUEST:
                self._reject(connection, HttpStatus.REQUEST_TIMEOUT, ClientCloseReason.REQUEST_TIMEOUT)
        elif connection.has_nothing_to_read():
            self._begin_graceful_close(connection, ClientCloseReason.IDLE_TIMEOUT)
        else:  # the request arrived at the same time as the time-out: it is read, whether admitted or not
            self.admission_queue.remove(connection)
            connection.is_admitted = True
            self._turns.queue(connection)
