"""What a request says: checks of its head, and the event that it submits. No I/O."""

import re
import zlib
from collections.abc import Container
from dataclasses import dataclass

import h11

from swiftthread.server.http_status import HttpStatus
from swiftthread.server.messages import BadRequest
from swiftthread.storage.pending_event import PendingEvent

MAX_BODY_BYTES = 64 * 1024  # the pages' bound
HEALTH_PATH = "/_health"
# Headers that may come once only, for two could differ.
SINGLE_HEADERS = frozenset(
    (b"x-txn", b"x-lane", b"x-remaining", b"x-route-to", b"idempotency-key", b"x-org", b"x-entity")
)
REMAINING_TIME = re.compile(r"(?P<number>\d{1,12}(?:\.\d{1,9})?)(?P<unit>[mu])")  # ms or us
DESTINATION = re.compile(r"(?:^|[;,\s])dest=(?P<number>\d{1,9})(?:$|[;,\s])")
TOKEN = re.compile(r"[!-~]{1,200}")  # an event id or an idempotency key


@dataclass(slots=True)
class RequestHead:
    """A request's line and headers."""

    method: bytes
    path: str
    """The target without its query."""
    headers: dict[bytes, bytes]
    """Values by lower-case name; of several with one name, the last."""

    def header(self, name: bytes) -> str:
        """Return the value of a header; "" without it."""
        return self.headers.get(name, b"").decode("latin-1")


@dataclass(slots=True)
class Request:
    """One request of a client."""

    head: RequestHead
    body: bytes
    received_at_ms: float
    """When its first bytes arrived, in ms on the clock of the log."""

    def is_health_check(self) -> bool:
        """Whether it asks after the node's health."""
        return self.head.method == b"GET" and self.head.path == HEALTH_PATH


def parse_head(request: h11.Request) -> RequestHead:
    """Return a request's head once it is checked, before the body arrives.

    Raises:
        BadRequest: the head can mean two things, or announces a body that is too long.
    """
    headers = list(request.headers)  # h11 builds each pair anew for every iteration
    names = [name for name, _ in headers]
    lengths = [int(value) for name, value in headers if name == b"content-length"]
    if max(lengths, default=0) > MAX_BODY_BYTES:
        raise BadRequest(HttpStatus.CONTENT_TOO_LARGE)
    if lengths and b"transfer-encoding" in names:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    single_names = [name for name in names if name in SINGLE_HEADERS]
    if len(set(single_names)) < len(single_names):
        raise BadRequest(HttpStatus.BAD_REQUEST)
    path = request.target.decode("latin-1").partition("?")[0]
    return RequestHead(request.method, path, dict(headers))


def parse_submission(request: Request, stream_types: Container[str]) -> PendingEvent:
    """Return the event that a request submits.

    Its remaining time counts from the moment at which the request arrived, for the client's does not stand
    still while the request waits to be read.

    Args:
        request: The request.
        stream_types: Names of the stream types that the node serves.

    Raises:
        BadRequest: the request submits no event.
    """
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
        event_id=_token(head.header(b"x-txn")),
        idempotency_key=idempotency_key and _token(idempotency_key),
        stream_type=stream_type,
        destination=_destination(head.header(b"x-route-to")),
        expires_at=request.received_at_ms + _remaining_ms(head.header(b"x-remaining")),
        tenant=head.header(b"x-org") if b"x-org" in head.headers else None,
        ordering_key=_ordering_key(path_entity or head.header(b"x-entity")),
        body=request.body,
    )


def _token(text: str) -> str:
    if not TOKEN.fullmatch(text):
        raise BadRequest(HttpStatus.BAD_REQUEST)
    return text


def _destination(route: str) -> int:
    match = DESTINATION.search(route)
    if match is None:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    return int(match["number"])


def _remaining_ms(text: str) -> float:
    match = REMAINING_TIME.fullmatch(text)
    if match is None:
        raise BadRequest(HttpStatus.BAD_REQUEST)
    units_per_ms = 1.0 if match["unit"] == "m" else 1000.0
    return float(match["number"]) / units_per_ms


def _ordering_key(entity: str) -> int:
    """Return a number for the entity whose events keep their order; 0 for none."""
    return zlib.crc32(entity.encode("latin-1")) + 1 if entity else 0
