"""Reads requests from a connection."""

# They are read within the time limits for clients.

from collections.abc import Callable

import anyio
import h11

from swiftthread.clocks import monotonic_ms
from swiftthread.network.connection import Connection, ConnectionClosed
from swiftthread.server.admission_queue import AdmissionQueue
from swiftthread.server.connection_table import ConnectionState, ConnectionTable
from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import BadRequest
from swiftthread.server.submission import MAX_BODY_BYTES, Request, RequestHead, parse_head

# Looked up once, because the state is compared for every part of a request.
IN_REQUEST = ConnectionState.IN_REQUEST


class RequestReader:
    """Reads the requests of all connections."""

    # Each is read once the admission queue has admitted it.

    def __init__(
        self,
        connections: ConnectionTable,
        admission_queue: AdmissionQueue,
        log_clock: Callable[[], float],
        first_request_timeout_ms: float,
        request_timeout_ms: float,
        idle_timeout_ms: float,
    ) -> None:
        # Create a reader. `connections` is the table of the connections and their states. `admission_queue`
        # is the queue in which connections wait until their request may be read. `log_clock` returns the time
        # in ms on the clock of the write-ahead log. `first_request_timeout_ms` is the longest time from the
        # accept to the last byte of the first request. `request_timeout_ms` is the longest time from the
        # first byte of a request to its last byte. `idle_timeout_ms` is the longest time from a response to
        # the first byte of the next request.
        self._connections = connections
        self._admission_queue = admission_queue
        self._log_clock = log_clock
        self._first_request_timeout_ms = first_request_timeout_ms
        self._request_timeout_ms = request_timeout_ms
        self._idle_timeout_ms = idle_timeout_ms

    async def read(self, connection: Connection, is_first: bool) -> Request:
        """Wait for the next request and read it.

        Raises:
            BadRequest: The request is malformed or takes too long.
            ConnectionClosed: The connection has closed, or no request arrived in time.
        """
        # `is_first` says whether this is the connection's first request.
        timeout_s = (self._first_request_timeout_ms if is_first else self._idle_timeout_ms) / 1000.0
        while True:
            with anyio.move_on_after(timeout_s) as timeout:
                return await self._read_parts(connection, is_first, timeout)
            if self._connections.state_of(connection) is IN_REQUEST:
                raise BadRequest(HttpStatus.REQUEST_TIMEOUT)
            if connection.has_nothing_to_read() or not connection.read_available():
                raise ConnectionClosed(request_was_written=True)
            # The first bytes of the request arrived at the same time as the timeout: read it after all.

    async def _read_parts(
        self, connection: Connection, is_first: bool, timeout: anyio.CancelScope
    ) -> Request:
        head: RequestHead | None = None
        body = bytearray()
        received_at_ms: float | None = None
        while True:
            if (
                self._connections.state_of(connection) is not IN_REQUEST
                and connection.parser.trailing_data[0]
            ):
                self._begin_request(connection, is_first, timeout)
                received_at_ms = connection.received_at
            part = self._next_part(connection)
            if part is h11.NEED_DATA:
                await self._receive(connection)
            elif isinstance(part, h11.Request):
                head = parse_head(part)
            elif isinstance(part, h11.Data):
                body += part.data
                if len(body) > MAX_BODY_BYTES:
                    raise BadRequest(HttpStatus.CONTENT_TOO_LARGE)
            elif isinstance(part, h11.EndOfMessage):
                assert head is not None  # the parser returns the head first
                age_ms = 0.0 if received_at_ms is None else monotonic_ms() - received_at_ms
                return Request(head, bytes(body), self._log_clock() - age_ms)
            else:
                raise ConnectionClosed(request_was_written=True)

    def _begin_request(self, connection: Connection, is_first: bool, timeout: anyio.CancelScope) -> None:
        self._connections.set_state(connection, IN_REQUEST)
        deadline = anyio.current_time() + self._request_timeout_ms / 1000.0
        timeout.deadline = min(deadline, timeout.deadline) if is_first else deadline

    @staticmethod
    def _next_part(connection: Connection) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return connection.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint) from None

    async def _receive(self, connection: Connection) -> None:
        # Wait for more bytes, and for admission if they begin a request, then read them.
        if connection.parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=HttpStatus.CONTINUE, headers=[])
            await connection.write(connection.parser.send(interim))
        await connection.wait_until_readable()
        if self._connections.state_of(connection) is not IN_REQUEST:
            await self._admission_queue.wait(connection)
        connection.read_available()
