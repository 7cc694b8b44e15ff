"""A small HTTP/1.1 client connection on an asyncio protocol, for the load generator and the baselines."""

import asyncio
from dataclasses import dataclass
from typing import cast

import httptools

NO_STATUS = 0  # Stands in place of a status if the connection closed without a response.


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response without its body; `status` is `NO_STATUS` if the connection closed without a response."""

    status: int
    headers: dict[str, str]

    def is_response(self) -> bool:
        """Return whether there was a response."""
        return self.status != NO_STATUS


class HttpClientConnection(asyncio.Protocol):
    """One connection with at most one request at a time.

    It adds itself to the list `idle` when a response is complete and the connection can be reused, and
    removes itself from the list when it closes.

    Attributes:
        transport: The transport, set when the connection is made.
        has_been_used: Set by the caller after a request; the server may have closed the connection since.
    """

    transport: asyncio.Transport

    def __init__(self, idle: list["HttpClientConnection"]) -> None:
        self.has_been_used = False
        self._idle = idle
        self._pending_reply: asyncio.Future[HttpResponse] | None = None
        self._headers: dict[str, str] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and create the parser; see `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpResponseParser(self)

    def request(self, data: bytes) -> asyncio.Future[HttpResponse]:
        """Write an encoded request; return a future for its reply."""
        self._pending_reply = asyncio.get_running_loop().create_future()
        self._headers = {}
        self.transport.write(data)
        return self._pending_reply

    def data_received(self, data: bytes) -> None:
        """Parse the data; abort the connection if it is not valid HTTP. See `asyncio.Protocol`."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; see `httptools`."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Complete the request with its reply, and reuse or close the connection; see `httptools`."""
        self._set_reply(HttpResponse(self._parser.get_status_code(), self._headers))
        if self._parser.should_keep_alive():
            self._parser = httptools.HttpResponseParser(self)
            self._idle.append(self)
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a pending request with `NO_STATUS`; see `asyncio.Protocol`."""
        if self in self._idle:
            self._idle.remove(self)
        self._set_reply(HttpResponse(NO_STATUS, {}))

    def _set_reply(self, reply: HttpResponse) -> None:
        pending_reply = self._pending_reply
        self._pending_reply = None
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_result(reply)

    def abort(self) -> None:
        """Close the connection at once; the future of a pending request is never completed."""
        self._pending_reply = None
        self.transport.abort()


class ConnectionPool:
    """Owns the idle connections to one address and reuses the most recently used one first."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[HttpClientConnection] = []

    async def acquire(self) -> HttpClientConnection:
        """Return an idle connection, or a new one.

        Raises:
            OSError: A new connection could not be made.
        """
        while True:
            connection = self._idle.pop() if self._idle else await self.connect()
            if not connection.transport.is_closing():
                return connection

    async def connect(self) -> HttpClientConnection:
        """Return a new connection.

        Raises:
            OSError: The connection could not be made.
        """
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: HttpClientConnection(self._idle), self._host, self._port
        )
        return connection

    def abort(self) -> None:
        """Abort all idle connections."""
        for connection in list(self._idle):
            connection.abort()
