"""A small HTTP/1.1 server on asyncio protocols, for the emulator and the baselines.

Connections are protocols with callbacks, because with hundreds of connections a task for each would make the
laboratory the bottleneck instead of the node under test.
"""

import asyncio
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

import httptools

from swiftthread.lab.run_records import monotonic_ms

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
LINGER_ZERO = struct.pack("ii", 1, 0)  # `struct linger` with l_onoff 1 and l_linger 0: a close sends an RST.


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: The method.
        target: The target: path and query.
        headers: The header fields by lower-case name.
        body: The body.
        first_byte_at: When the first byte arrived, in ms of the monotonic clock.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float


def encode_response(status: int, headers: Sequence[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    """Return an encoded response with a Content-Length."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class HttpServerConnection(asyncio.Protocol):
    """One connection of a server; a subclass responds in `on_request` by writing to `transport`."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self._first_byte_at = 0.0
        self._target = ""
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def on_request(self, request: HttpRequest) -> None:
        """Respond to a request, either now or later."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and create the parser; see `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse the data; close the connection if it is not valid HTTP. See `asyncio.Protocol`."""
        self._first_byte_at = self._first_byte_at or monotonic_ms()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise  # One of the methods below raised it; the received data is not the cause.
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Clear the fields of the previous request; see `httptools`."""
        self._headers = {}
        self._body = bytearray()
        self._target = ""

    def on_url(self, url: bytes) -> None:
        """Append a part of the target; see `httptools`."""
        self._target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; see `httptools`."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; see `httptools`."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to `on_request`; see `httptools`."""
        request = HttpRequest(
            method=self._parser.get_method().decode(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            first_byte_at=self._first_byte_at,
        )
        self._first_byte_at = 0.0
        self.on_request(request)

    def reset(self) -> None:
        """Send an RST at once and discard data that is not written yet."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.transport.abort()
