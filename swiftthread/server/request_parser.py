"""Parses the requests of one client connection from the bytes that arrive on it. No I/O."""

# The cost of a request is bounded before it is parsed. Number of fields and size of a head are checked on the
# raw bytes, a body may have only so many chunks, and one call of `next_request` handles only some of them.

import re

import h11

from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import BadRequest
from swiftthread.server.submission import MAX_BODY_BYTES, RequestHead, parse_head

MAX_HEAD_BYTES = 16 * 1024  # of a request line with its headers
MAX_HEADERS = 100  # ordinary requests have ten
MAX_CHUNKS = 1024  # of one body; a client that uses chunks sends some KiB in each
# Chunk sizes, extensions and trailers that may come with a body.
MAX_FRAMING_BYTES = 32 * 1024
# Parts of a body that one call of `next_request` handles.
MAX_PARTS_PER_CALL = 64
END_OF_HEAD = re.compile(rb"\n\r?\n")
END_OF_HEAD_BYTES = 3


class ParsedRequest:
    """A complete request."""

    __slots__ = ("head", "body", "allows_next_request")

    def __init__(self, head: RequestHead, body: bytes, allows_next_request: bool) -> None:
        self.head = head
        self.body = body
        self.allows_next_request = allows_next_request
        """Whether the client lets the connection stay open after the response."""


class RequestParser:
    """Parses one request after the other."""

    __slots__ = (
        "_received",
        "_searched_bytes",
        "_head",
        "_body",
        "_parser",
        "_body_bytes",
        "_chunks",
        "_has_parts",
    )

    def __init__(self) -> None:
        self._received = bytearray()  # not parsed yet: a head that is not complete, or the next requests
        self._searched_bytes = 0  # of those, in which the end of the head was not found
        self._head: RequestHead | None = None  # set while the body arrives
        self._parser: h11.Connection | None = None  # while the body arrives
        self._body = bytearray()
        self._body_bytes = 0  # raw bytes of the body, and of what follows it, that the parser was given
        self._chunks = 0
        self._has_parts = False  # whether the parser may have further parts without further bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for requests that are not complete."""
        return len(self._received) + self._body_bytes

    @property
    def has_input(self) -> bool:
        """Whether `next_request` can make progress without further bytes."""
        return self._has_parts or len(self._received) > self._searched_bytes

    @property
    def has_begun(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._head is not None or bool(self._received)

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for a response of 100 before it sends the body."""
        return self._parser is not None and self._parser.they_are_waiting_for_100_continue

    def receive(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        if self._parser is None:
            self._received += data
            return
        self._give_to_body(data)

    def next_request(self) -> ParsedRequest | None:
        """Return the next request, or None if it is not complete; see `has_input`.

        Raises:
            BadRequest: The bytes are not a request that the server accepts.
        """
        try:
            if self._parser is None and not self._read_head():
                return None
            return self._read_body()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint) from None

    def _read_head(self) -> bool:
        # Parse the head if it is complete; return whether it is.
        begin = max(0, self._searched_bytes - END_OF_HEAD_BYTES)
        end_of_head = END_OF_HEAD.search(self._received, begin)
        size = len(self._received) if end_of_head is None else end_of_head.end()
        if size > MAX_HEAD_BYTES or self._received.count(b"\n", 0, size) > MAX_HEADERS + 2:
            raise BadRequest(HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if end_of_head is None:
            self._searched_bytes = size
            self._check_beginning()
            return False
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        parser.receive_data(bytes(self._received[:size]))
        request = parser.next_event()
        if not isinstance(request, h11.Request):
            raise BadRequest(HttpStatus.BAD_REQUEST)
        self._head = parse_head(request)
        self._parser = parser
        rest = bytes(self._received[size:])
        self._received.clear()
        self._searched_bytes = 0
        self._give_to_body(rest)
        return True

    def _check_beginning(self) -> None:
        # The parser recognises some bytes that cannot become a request line at once.
        if self._received and self._received[0] < ord("!"):
            raise BadRequest(HttpStatus.BAD_REQUEST)

    def _give_to_body(self, data: bytes) -> None:
        assert self._parser is not None  # the head is complete
        self._body_bytes += len(data)
        self._has_parts = True
        if data:
            self._parser.receive_data(data)

    def _read_body(self) -> ParsedRequest | None:
        assert self._parser is not None  # the head is complete
        for _ in range(MAX_PARTS_PER_CALL):
            part = self._parser.next_event()
            if part is h11.NEED_DATA:
                self._has_parts = False
                self._check_framing()
                return None
            if isinstance(part, h11.Data):
                self._add_to_body(part)
            elif isinstance(part, h11.EndOfMessage):
                return self._finish_request()
            else:
                raise BadRequest(HttpStatus.BAD_REQUEST)
        return None

    def _add_to_body(self, part: h11.Data) -> None:
        self._body += part.data
        self._chunks += part.chunk_start
        if len(self._body) > MAX_BODY_BYTES:
            raise BadRequest(HttpStatus.CONTENT_TOO_LARGE)
        if self._chunks > MAX_CHUNKS:
            raise BadRequest(HttpStatus.BAD_REQUEST)

    def _check_framing(self) -> None:
        # All that has arrived so far belongs to this request.
        if self._body_bytes - len(self._body) > MAX_FRAMING_BYTES:
            raise BadRequest(HttpStatus.BAD_REQUEST)

    def _finish_request(self) -> ParsedRequest:
        assert self._parser is not None and self._head is not None
        allows_next_request = self._parser.their_state is h11.DONE
        request = ParsedRequest(self._head, bytes(self._body), allows_next_request)
        self._received += self._parser.trailing_data[0]
        self._head = None
        self._parser = None
        self._body = bytearray()
        self._body_bytes = 0
        self._chunks = 0
        self._has_parts = False
        return request
