"""One HTTP/1.1 request and its response, parsed by h11: for endpoints, discovery and notifications."""

# A response may be malformed: it may not be HTTP, never end, or have a wrong length. Reading it raises
# `ConnectionClosed` as soon as this is known. The status of its first line is stored nevertheless, because a
# first line with 200 is valid whatever follows it.

from __future__ import annotations

import re
from typing import NamedTuple

import anyio
import h11
from anyio.lowlevel import checkpoint

from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps, Work
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.network.connection import Connection
from swiftthread.network.tcp_connection import ConnectionClosed

MAX_HEAD_BYTES = 32 * 1024  # first line and headers; responses of the specified protocols are far smaller
MAX_BODY_BYTES = 64 * 1024  # limit of the protocol; a longer body, or a larger Content-Length, is malformed
MAX_INTERIM_RESPONSES = 20  # responses with a status of 1xx before the final response
MAX_HEADERS = 100  # of one response; responses of the specified protocols have ten
MAX_CHUNKS = 1024  # of one body; a server that uses chunks sends some KiB in each
# All bytes of a response, with the chunk sizes, extensions and trailers of its body.
MAX_RESPONSE_BYTES = 2 * MAX_BODY_BYTES
# Parts of a response that are handled before other tasks get to run.
MAX_PARTS_PER_TURN = 64
# Bytes of a response that are held without a reservation; ordinary responses have fewer.
UNRESERVED_BYTES = 4 * 1024
# Limit from the first byte of a response to its last; it is short because endpoints write a response at once.
RESPONSE_COMPLETION_MS = 200.0

# The exceptions that reading values from JSON of another program can raise.
PARSE_ERRORS = (KeyError, ValueError, TypeError, AttributeError, OverflowError, RecursionError)

_END_OF_HEAD = re.compile(rb"\n\r?\n")
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


class ResponseResources(NamedTuple):
    """What the responses of endpoints use of the node."""

    memory: MemoryAccount
    hold_ups: HoldUps


class HttpResponse:
    """A response, filled in as its bytes arrive."""

    # Its size and the work for it are bounded, because a peer decides how many bytes it sends, and in what
    # parts. `release` gives back the memory that it has reserved.

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
        "has_more_parts",
        "_resources",
        "_keeps_body",
        "_received_bytes",
        "_body_bytes",
        "_chunk_count",
        "_reserved_bytes",
    )

    def __init__(self, resources: ResponseResources | None = None, keeps_body: bool = True) -> None:
        # `resources` are what the response may use; None does not count it. Without `keeps_body` the body is
        # read and discarded.
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
        self.has_more_parts = False
        """Whether the parser has further parts of it without further bytes."""
        self._resources = resources
        self._keeps_body = keeps_body
        self._received_bytes = 0
        self._body_bytes = 0
        self._chunk_count = 0
        self._reserved_bytes = 0

    def add_received(self, size: int) -> None:
        """Count bytes that the parser has received.

        Raises:
            ConnectionClosed: The response is too long, or there is no memory for it.
        """
        self._received_bytes += size
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise ConnectionClosed(True)
        held_bytes = self._received_bytes if self._keeps_body or self.status is None else 0
        missing = held_bytes - UNRESERVED_BYTES - self._reserved_bytes
        if self._resources is None or missing <= 0:
            return
        if not self._resources.memory.try_reserve(MemoryUse.CALLS, missing):
            raise ConnectionClosed(True)
        self._reserved_bytes += missing

    def release(self) -> None:
        """Release the memory that was reserved for it."""
        if self._resources is not None:
            self._resources.memory.release(MemoryUse.CALLS, self._reserved_bytes)
            self._reserved_bytes = 0

    def feed_from(self, connection: Connection) -> bool:
        """Read what the connection's parser has received; return whether the response is complete.

        At most MAX_PARTS_PER_TURN parts are handled; `has_more_parts` tells whether there are others.

        Raises:
            ConnectionClosed: The response is malformed.
        """
        # A response is malformed if the bytes are not an HTTP response, or if it is truncated, too long, or
        # follows too many responses with a status of 1xx.
        began_at = monotonic_ms()
        try:
            self.has_more_parts = self._handle_parts(connection.parser)
        except h11.RemoteProtocolError:
            self.has_begun = True
            raise ConnectionClosed(True) from None
        finally:
            if self._resources is not None:
                self._resources.hold_ups.record(Work.RESPONSES, began_at)
        if self.is_complete:
            self._note_trailing_bytes(connection.parser)
        return self.is_complete

    def _handle_parts(self, parser: h11.Connection) -> bool:
        # Handle parts of the response; return whether the parser may have more.
        for _ in range(MAX_PARTS_PER_TURN):
            if self.status is None:
                self._read_first_line(parser.trailing_data[0])
            part = parser.next_event()
            if part is h11.NEED_DATA:
                self.has_begun = self.status is not None or parser.trailing_data[0] != b""
                return False
            self._handle_part(part)
            if self.is_complete:
                return False
        return True

    def _read_first_line(self, received: bytes) -> None:
        # Set what the first line says, even if what follows cannot be parsed, and check the head's fields.
        first_line = _FIRST_LINE.match(received)
        self.first_line_status = int(first_line[1]) if first_line else None
        end_of_head = _END_OF_HEAD.search(received)
        if received.count(b"\n", 0, end_of_head.end() if end_of_head else len(received)) > MAX_HEADERS + 2:
            self.has_begun = True
            raise ConnectionClosed(True)

    def _note_trailing_bytes(self, parser: h11.Connection) -> None:
        trailing_bytes = parser.trailing_data[0]
        self.is_followed_by_response = bool(_FIRST_LINE.match(trailing_bytes))
        self.has_trailing_bytes = trailing_bytes != b"" and not self.is_followed_by_response

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
            self._chunk_count += part.chunk_start
            self._body_bytes += len(part.data)
            if self._keeps_body:
                self.body += part.data
            if self._body_bytes > MAX_BODY_BYTES or self._chunk_count > MAX_CHUNKS:
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
    # Other tasks get to run after each turn, however fast the peer sends.
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
        if response.has_more_parts or await connection.read(response.add_received):
            await checkpoint()
