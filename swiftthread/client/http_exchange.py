"""One HTTP/1.1 request and its response, parsed by h11: for endpoints, discovery and notifications."""

# A response may be malformed: it may not be HTTP, never end, or have a wrong length. Reading it raises
# `ConnectionClosed` as soon as this is known. The status of its first line is stored nevertheless, because a
# first line with 200 is valid whatever follows it.

from __future__ import annotations

import re
from typing import NamedTuple

import anyio
import h11

from swiftthread.network.connection import Connection
from swiftthread.network.tcp_connection import ConnectionClosed

MAX_HEAD_BYTES = 32 * 1024  # first line and headers; responses of the specified protocols are far smaller
MAX_BODY_BYTES = 64 * 1024  # limit of the protocol; a longer body, or a larger Content-Length, is malformed
MAX_INTERIM_RESPONSES = 20  # responses with a status of 1xx before the final response
# Limit from the first byte of a response to its last; it is short because endpoints write a response at once.
RESPONSE_COMPLETION_MS = 200.0

# The exceptions that reading values from JSON of another program can raise.
PARSE_ERRORS = (KeyError, ValueError, TypeError, AttributeError, OverflowError, RecursionError)

_FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([2-9]\d\d)(?: [^\r\n]*)?\r?\n")


class HttpRequest(NamedTuple):
    """A request as the parser encodes it."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""


def client_parser() -> h11.Connection:
    """Returns a client-side HTTP/1.1 parser for one connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


class HttpResponse:
    """A response, filled in as its bytes arrive."""

    __slots__ = (
        "status",
        "headers",
        "body",
        "first_line_status",
        "interim_count",
        "has_begun",
        "is_complete",
        "has_trailing_bytes",
        "is_followed_by_response",
    )

    def __init__(self) -> None:
        self.status: int | None = None
        """Status code; None until the headers are complete."""
        self.headers: dict[str, str] = {}
        """Header values by lower-case name."""
        self.body = bytearray()
        """The part of the body that has arrived."""
        self.first_line_status: int | None = None
        """Status code of the first line, set even if the rest cannot be parsed."""
        self.interim_count = 0
        """How many responses with a status of 1xx came before it."""
        self.has_begun = False
        """Whether any byte of it has arrived."""
        self.is_complete = False
        """Whether all of it has arrived."""
        self.has_trailing_bytes = False
        """Whether bytes follow it that do not start another response.

        If they do, its length may be wrong.
        """
        self.is_followed_by_response = False
        """Whether another response arrived together with it."""

    def feed_from(self, connection: Connection) -> bool:
        """Read the bytes that the connection's parser has received; return whether the response is complete.

        Raises:
            ConnectionClosed: The response is malformed.
        """
        # A response is malformed if the bytes are not an HTTP response, or if it is truncated, too long, or
        # follows too many responses with a status of 1xx.
        parser = connection.parser
        try:
            while not self.is_complete:
                if self.status is None:
                    first_line = _FIRST_LINE.match(parser.trailing_data[0])
                    self.first_line_status = int(first_line[1]) if first_line else None
                part = parser.next_event()
                if part is h11.NEED_DATA:
                    self.has_begun = self.status is not None or parser.trailing_data[0] != b""
                    return False
                self._handle_part(part)
        except h11.RemoteProtocolError:
            self.has_begun = True
            raise ConnectionClosed(True) from None
        trailing_bytes = parser.trailing_data[0]
        self.is_followed_by_response = bool(_FIRST_LINE.match(trailing_bytes))
        self.has_trailing_bytes = trailing_bytes != b"" and not self.is_followed_by_response
        return True

    def _handle_part(self, part: object) -> None:
        if isinstance(part, h11.Response):
            self.status = part.status_code
            self.headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in part.headers}
            if int(self.headers.get("content-length", 0)) > MAX_BODY_BYTES:
                raise ConnectionClosed(True)
        elif isinstance(part, h11.InformationalResponse):
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise ConnectionClosed(True)
        elif isinstance(part, h11.Data):
            self.body += part.data
            if len(self.body) > MAX_BODY_BYTES:
                raise ConnectionClosed(True)
        elif isinstance(part, h11.EndOfMessage):
            self.is_complete = True
        else:
            raise ConnectionClosed(True)


def encode_request(connection: Connection, request: HttpRequest) -> list[bytes]:
    """Returns the bytes of a request, in parts, and marks it as sent in the connection's parser."""
    parser = connection.parser
    headers = request.headers
    if request.body or request.method == "POST":
        headers = [*headers, ("Content-Length", str(len(request.body)))]
    parts = [parser.send(h11.Request(method=request.method, target=request.target, headers=headers))]
    if request.body:
        parts.append(parser.send(h11.Data(data=request.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return parts


async def exchange(
    connection: Connection, request: HttpRequest, response: HttpResponse, deadline_scope: anyio.CancelScope
) -> None:
    """Write a request and read the whole response; see `receive` for `deadline_scope`."""
    await connection.write(*encode_request(connection, request))
    await receive(connection, response, deadline_scope)


async def receive(connection: Connection, response: HttpResponse, deadline_scope: anyio.CancelScope) -> None:
    """Read the whole response."""
    # `deadline_scope` is the cancel scope that ends the wait. While the response has begun and is not
    # complete, the deadline of the scope is at most RESPONSE_COMPLETION_MS after the first byte of the
    # response.
    full_deadline = deadline_scope.deadline
    had_begun = False
    while not response.feed_from(connection):
        if response.has_begun != had_begun:  # False again after a response with a status of 1xx
            had_begun = response.has_begun
            deadline_scope.deadline = (
                min(full_deadline, anyio.current_time() + RESPONSE_COMPLETION_MS / 1000.0)
                if had_begun
                else full_deadline
            )
        await connection.read()
