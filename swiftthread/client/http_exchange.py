"""One HTTP/1.1 request and its response, parsed by h11: for endpoints, discovery and notifications.

A response may be malformed: no HTTP at all, without an end, with lengths that do not fit. It then raises
`ConnectionClosed` as soon as that is known. What its first line said is kept, for a first line with 200 is
true whatever follows it.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import anyio
import h11

from swiftthread.network.connection import Connection, ConnectionClosed

MAX_HEAD_BYTES = 32 * 1024  # first line and headers; no response of the specified protocols is near it
MAX_BODY_BYTES = 64 * 1024  # the protocol's bound; a longer body, or one announced as longer, is malformed
MAX_INTERIM_RESPONSES = 20  # responses of 1xx before the one that counts
RESPONSE_COMPLETION_MS = 200.0  # from a response's first byte to its last: endpoints write it in one go

# What reading somebody else's JSON can raise.
PARSE_ERRORS = (KeyError, ValueError, TypeError, AttributeError, OverflowError, RecursionError)

_FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([2-9]\d\d)(?: [^\r\n]*)?\r?\n")


class HttpRequest(NamedTuple):
    """A request, as it is handed to the parser."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""


def client_parser() -> h11.Connection:
    """A client-side HTTP/1.1 parser for one connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


class HttpResponse:
    """A response, filled in as its bytes come.

    Attributes:
        status: Status code; None until the headers are complete.
        headers: Header values by lower-case name.
        body: What has come of the body.
        first_line_status: Status code of the first line, also when the rest cannot be read.
        interim_count: Responses of 1xx that came before it.
        has_begun: Whether any byte of it has come.
        is_complete: Whether all of it has come.
        has_trailing_bytes: Whether bytes followed that are no further response, so that its length may be
            wrong.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "first_line_status",
        "interim_count",
        "has_begun",
        "is_complete",
        "has_trailing_bytes",
    )

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.first_line_status: int | None = None
        self.interim_count = 0
        self.has_begun = False
        self.is_complete = False
        self.has_trailing_bytes = False

    def feed_from(self, connection: Connection) -> bool:
        """Take in what the connection's parser holds; whether the response is complete.

        Raises:
            ConnectionClosed: The bytes are no response, or it ends too early.
        """
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
                self._take(part)
        except h11.RemoteProtocolError:
            self.has_begun = True
            raise ConnectionClosed(True) from None
        trailing_bytes = parser.trailing_data[0]
        self.has_trailing_bytes = trailing_bytes != b"" and not _FIRST_LINE.match(trailing_bytes)
        return True

    def _take(self, part: object) -> None:
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

    def allows_reuse(self, connection: Connection) -> bool:
        """Make the connection ready for another request; False if none may follow on it.

        One may follow when the response is complete and nothing came beside it.
        """
        parser = connection.parser
        if (
            not self.is_complete
            or parser.our_state is not h11.DONE
            or parser.their_state is not h11.DONE
            or parser.trailing_data != (b"", False)
        ):
            return False
        parser.start_next_cycle()
        return True


def encode_request(connection: Connection, request: HttpRequest) -> list[bytes]:
    """The bytes of a request, in parts; the connection's parser notes that it is sent."""
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
    """Write a request and read the whole response; see `receive` for the scope."""
    await connection.write(*encode_request(connection, request))
    await receive(connection, response, deadline_scope)


async def receive(connection: Connection, response: HttpResponse, deadline_scope: anyio.CancelScope) -> None:
    """Read the whole response.

    Args:
        connection: Where it comes from.
        response: What is filled in.
        deadline_scope: The cancel scope that ends the wait. While a response has begun and is not complete
            its deadline is at most RESPONSE_COMPLETION_MS away.
    """
    full_deadline = deadline_scope.deadline
    had_begun = False
    while not response.feed_from(connection):
        if response.has_begun != had_begun:  # back to False after a response of 1xx
            had_begun = response.has_begun
            deadline_scope.deadline = (
                min(full_deadline, anyio.current_time() + RESPONSE_COMPLETION_MS / 1000.0)
                if had_begun
                else full_deadline
            )
        await connection.read()
