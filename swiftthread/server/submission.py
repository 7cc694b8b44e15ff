"""Validation of a request's head, and parsing of the event that it submits."""

# Nothing here does I/O.

import re
import zlib
from collections.abc import Container
from dataclasses import dataclass

import h11

from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import BadRequest
from swiftthread.storage.pending_event import PendingEvent

MAX_BODY_BYTES = 64 * 1024  # the documented limit of an event's body
HEALTH_PATH = "/_health"
# Headers that may occur only once, because two values could differ.
SINGLE_VALUE_HEADERS = frozenset(
    (b"x-txn", b"x-lane", b"x-remaining", b"x-route-to", b"idempotency-key", b"x-org", b"x-entity")
)
REMAINING_TIME_PATTERN = re.compile(r"(?P<number>\d{1,12}(?:\.\d{1,9})?)(?P<unit>[mu])")  # "m": ms, "u": us
DESTINATION_PATTERN = re.compile(r"(?:^|[;,\s])dest=(?P<number>\d{1,9})(?:$|[;,\s])")
TOKEN_PATTERN = re.compile(r"[!-~]{1,200}")  # an event id or an idempotency key


@dataclass(slots=True)
class RequestHead:
    """The request line and the headers of a request."""

    method: bytes
    path: str
    """The request target without its query."""
    headers: dict[bytes, bytes]
    """Values of the headers that the server uses, by lower-case name."""

    def header(self, name: bytes) -> str:
        """Return the value of a header, or "" if the request does not have it."""
        return self.headers.get(name, b"").decode("latin-1")


@dataclass(slots=True)
class Request:
    """One request of a client."""

    head: RequestHead
    body: bytes
    received_at_ms: float
    """When the first bytes arrived, in ms on the clock of the write-ahead log."""

    def is_health_check(self) -> bool:
        """Return whether this is a health check of the node."""
        return self.head.method == b"GET" and self.head.path == HEALTH_PATH


def parse_head(request: h11.Request) -> RequestHead:
    """Validate and return a request's head, before its body arrives.

    Raises:
        BadRequest: The head is ambiguous, or announces a body that is too long.
    """
    headers = list(request.headers)  # h11 builds every pair again on each iteration
    names = [name for name, _ in headers]
    lengths = [int(value) for name, value in headers if name == b"content-length"]
    if max(lengths, default=0) > MAX_BODY_BYTES:
        raise BadRequest(HttpStatus.CONTENT_TOO_LARGE)
    if lengths and b"transfer-encoding" in names:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    single_names = [name for name in names if name in SINGLE_VALUE_HEADERS]
    if len(set(single_names)) < len(single_names):
        raise BadRequest(HttpStatus.BAD_REQUEST)
    path = request.target.decode("latin-1").partition("?")[0]
    known_headers = {name: value for name, value in headers if name in SINGLE_VALUE_HEADERS}
    return RequestHead(request.method, path, known_headers)


def parse_submission(request: Request, stream_types: Container[str]) -> PendingEvent:
    """Return the event that a request submits.

    Raises:
        BadRequest: The request does not submit a valid event.
    """
    # `stream_types` are the names of the stream types that the node serves. The event's remaining time counts
    # from the arrival of the request, not from when it is read, because time passes for the client too while
    # the request waits to be read.
    head = request.head
    if head.method != b"POST":
        raise BadRequest(HttpStatus.NOT_FOUND)
    stream_type, _, path_entity = head.path.lstrip("/").partition("/")
    if stream_type not in stream_types:
        raise BadRequest(HttpStatus.NOT_FOUND)
    if b"x-lane" in head.headers and head.header(b"x-lane") != stream_type:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    idempotency_key = head.header(b"idempotency-key")
    return PendingEvent(
        event_id=_parse_token(head.header(b"x-txn")),
        idempotency_key=idempotency_key and _parse_token(idempotency_key),
        stream_type=stream_type,
        destination=_parse_destination(head.header(b"x-route-to")),
        expires_at=request.received_at_ms + _parse_remaining_ms(head.header(b"x-remaining")),
        tenant=head.header(b"x-org") if b"x-org" in head.headers else None,
        ordering_key=_ordering_key_of(path_entity or head.header(b"x-entity")),
        body=request.body,
    )


def _parse_token(token: str) -> str:
    if not TOKEN_PATTERN.fullmatch(token):
        raise BadRequest(HttpStatus.BAD_REQUEST)
    return token


def _parse_destination(route: str) -> int:
    match = DESTINATION_PATTERN.search(route)
    if match is None:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    return int(match["number"])


def _parse_remaining_ms(remaining_time: str) -> float:
    match = REMAINING_TIME_PATTERN.fullmatch(remaining_time)
    if match is None:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    units_per_ms = 1.0 if match["unit"] == "m" else 1000.0
    return float(match["number"]) / units_per_ms


def _ordering_key_of(entity: str) -> int:
    # Return the ordering key of an entity, whose events stay in order; 0 if no entity is named.
    return zlib.crc32(entity.encode("latin-1")) + 1 if entity else 0
