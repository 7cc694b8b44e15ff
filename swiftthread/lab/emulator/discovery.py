"""The discovery server of each node: the endpoint list, watches on it, and the platform's status endpoint."""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass

from swiftthread.lab.emulator.response_writer import ResponseFaults
from swiftthread.lab.faults import Fault, FaultKind
from swiftthread.lab.http_server import HttpRequest, HttpServerConnection, encode_response
from swiftthread.lab.loopback import address_of, listen
from swiftthread.lab.outcomes import EndpointState
from swiftthread.lab.run_records import (
    EndpointStateAnnounced,
    NotificationReceived,
    RecordWriter,
    monotonic_ms,
)

WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WATCH_HEARTBEAT = b"\n"  # The watch protocol requires an empty line at intervals.

NotificationHandler = Callable[[NotificationReceived], None]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An entry of the endpoint list, with the fields of the protocol in the protocol's order."""

    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started_ms: int


class DiscoveryConnection(HttpServerConnection):
    """A connection from a node to its discovery server."""

    def __init__(self, discovery: "DiscoveryServer") -> None:
        super().__init__()
        self._discovery = discovery

    def on_request(self, request: HttpRequest) -> None:
        """Record posted notifications, or respond with the endpoint list or a watch on it."""
        if request.method == "POST" and request.target == "/status":
            if self._discovery.should_fail_post():
                self.transport.write(encode_response(500))
                return
            self._discovery.on_status_posted(request.body)
            self._discovery.response_faults.write_once_or_twice(self.transport, encode_response(204))
        elif self._discovery.is_unresponsive:
            return
        elif "watch=1" in request.target:
            self.transport.write(WATCH_RESPONSE_HEAD)
            self._discovery.add_watch(self)
        else:
            body = json.dumps(self._discovery.full_list()).encode()
            self.transport.write(encode_response(200, body=body))

    def write_chunk(self, data: bytes) -> None:
        """Write data to a watch as one chunk of the chunked encoding."""
        chunk = b"%x\r\n%s\r\n" % (len(data), data)
        self._discovery.response_faults.write_once_or_twice(self.transport, chunk)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the watches if it is one; see `asyncio.Protocol`."""
        self._discovery.remove_watch(self)


class DiscoveryServer:
    """The discovery server of one node.

    Args:
        node: The name of the node.
        entries: The initial entries of the endpoint list.
        delay_ms: The delay from a change to its announcement. The caller of `apply_changes` waits for it.
        record_writer: Writes a record of each announced state.
        on_notification: Called with each notification that the node posts.
        rng: The source of the draws of faults.

    Attributes:
        address: The listening address as host:port, set by `open`.
        response_faults: Writes the responses with the injected faults.
        is_unresponsive: Whether list requests get no response, and watches neither changes nor heartbeats.
    """

    address: str

    def __init__(
        self,
        node: str,
        entries: Iterable[EndpointEntry],
        delay_ms: float,
        record_writer: RecordWriter,
        on_notification: NotificationHandler,
        rng: random.Random,
    ) -> None:
        self.delay_ms = delay_ms
        self.is_unresponsive = False
        self._active_faults: dict[FaultKind, Fault] = {}
        self.response_faults = ResponseFaults(rng, self._active_faults)
        self._has_failed_post = False
        self._node = node
        self._entries = {entry.id: entry for entry in entries}
        self._version = 1
        self._watches: dict[DiscoveryConnection, bool] = {}
        self._record_writer = record_writer
        self._on_notification = on_notification

    async def open(self) -> None:
        """Listen on an unused port."""
        self._server = await listen(lambda: DiscoveryConnection(self))
        self.address = address_of(self._server.sockets[0])

    def full_list(self) -> dict[str, object]:
        """Return the full endpoint list as a list document."""
        return self._encode_list(self._entries.values(), is_full=True)

    def _encode_list(self, entries: Iterable[EndpointEntry], *, is_full: bool) -> dict[str, object]:
        return {"version": self._version, "full": is_full, "servers": [asdict(entry) for entry in entries]}

    def add_watch(self, connection: DiscoveryConnection) -> None:
        """Send the full list to a watch now, and later changes as they are applied."""
        self._watches[connection] = True
        connection.write_chunk(_encode_line(self.full_list()))

    def remove_watch(self, connection: DiscoveryConnection) -> None:
        """Remove a closed connection from the watches."""
        self._watches.pop(connection, None)

    def apply_changes(self, changed_entries: list[EndpointEntry]) -> None:
        """Change the list and send the changes to all watches; record them as announced once written.

        While the server is unresponsive, the list changes but nothing is sent or recorded.
        """
        self._version += 1
        for entry in changed_entries:
            self._entries[entry.id] = entry
        if not self.is_unresponsive:
            line = _encode_line(self._encode_list(changed_entries, is_full=False))
            if self.response_faults.draws(FaultKind.LATE_RESPONSES):
                delay_s = self.response_faults.delay_s(FaultKind.LATE_RESPONSES)
                asyncio.get_running_loop().call_later(delay_s, self._send_change, line, changed_entries)
            else:
                self._send_change(line, changed_entries)
        for entry in changed_entries:
            if entry.state == EndpointState.DELETED:
                del self._entries[entry.id]

    def _send_change(self, line: bytes, changed_entries: list[EndpointEntry]) -> None:
        for watch in self._watches:
            watch.write_chunk(line)
        self._record_states(changed_entries)

    def inject(self, kind: FaultKind, fault: Fault) -> None:
        """Inject a fault into the responses, and end it after its duration if that is not 0."""
        self._active_faults[kind] = fault
        if fault.duration_ms:
            asyncio.get_running_loop().call_later(
                fault.duration_ms / 1000.0, lambda: self._active_faults.pop(kind, None)
            )

    def _record_states(self, entries: Iterable[EndpointEntry]) -> None:
        for entry in entries:
            self._record_writer.write(
                EndpointStateAnnounced(monotonic_ms(), self._node, entry.id, entry.state)
            )

    def should_fail_post(self) -> bool:
        """Return whether a post of notifications gets a 500; never twice in a row."""
        self._has_failed_post = not self._has_failed_post and self.response_faults.draws(FaultKind.ERRORS)
        return self._has_failed_post

    def on_status_posted(self, body: bytes) -> None:
        """Pass on the notifications in a request body, one JSON object per line."""
        for line in body.splitlines():
            notification = json.loads(line)
            self._on_notification(
                NotificationReceived(
                    monotonic_ms(),
                    self._node,
                    notification["message"],
                    notification["outcome"],
                    notification.get("retry_in_ms", 0.0),
                )
            )

    def stop_responding_for(self, duration_ms: float) -> None:
        """Send no responses to list requests, and nothing to watches, for this duration."""
        self.is_unresponsive = True
        asyncio.get_running_loop().call_later(duration_ms / 1000.0, self._resume)

    def _resume(self) -> None:
        self.is_unresponsive = False
        self._record_states(self._entries.values())
        # A new watch starts with the full list, and so with the changes that were not sent.
        self.drop_watches()

    def drop_watches(self) -> None:
        """Abort the connections of all watches."""
        for watch in list(self._watches):
            watch.transport.abort()

    def send_heartbeats(self) -> None:
        """Send an empty line to each watch."""
        if self.is_unresponsive:
            return
        for watch in self._watches:
            watch.write_chunk(WATCH_HEARTBEAT)


def _encode_line(endpoint_list: dict[str, object]) -> bytes:
    return json.dumps(endpoint_list).encode() + b"\n"
