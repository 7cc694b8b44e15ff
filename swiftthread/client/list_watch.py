"""One open discovery watch: a response without end, whose list documents are applied as they arrive."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint

from swiftthread.client.endpoint_list import EndpointList, MalformedEndpointList
from swiftthread.client.json_stream import MAX_OBJECT_BYTES, BodyLineReader, JsonAssembler
from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps, Work
from swiftthread.network.connection import Connection
from swiftthread.network.tcp_connection import ConnectionClosed

if TYPE_CHECKING:
    from swiftthread.routing.messages import EndpointEntry

# After this many consecutive lists with an unreadable entry, such an entry is tolerated.
MAX_CONSECUTIVE_UNREADABLE_LISTS = 2

# Parts of the response and lines, together, that one call handles: more than a list of 1,024 endpoints has
# if it is indented.
MAX_WORK_PER_CALL = 16_384

UpdateCallback = Callable[[list["EndpointEntry"], bool], None]
"""Receives the fields of an `EndpointListUpdate` as its arguments."""


class ListWatch:
    """Reads the response to a watch request and passes each update on."""

    # Both the task of the watch and `apply_available` read from the connection. An error ends the watch: it
    # is stored, and raised in the task.

    def __init__(
        self,
        connection: Connection,
        endpoint_list: EndpointList,
        on_update: UpdateCallback,
        max_document_bytes: int = MAX_OBJECT_BYTES,
        hold_ups: HoldUps | None = None,
    ) -> None:
        self._connection = connection
        self._endpoint_list = endpoint_list
        self._on_update = on_update
        self._hold_ups = hold_ups
        self._lines = BodyLineReader(connection, max_document_bytes)
        self._assembler = JsonAssembler(max_document_bytes)
        self._has_more = False  # whether the last call of `apply_available` left something that had arrived
        self._is_first_line = True
        self._is_first_document = True
        self._latest_at = anyio.current_time()
        self._error: Exception | None = None

    async def run(self, idle_timeout_ms: float, first_line_timeout_ms: float = math.inf) -> None:
        """Pass on updates until the response ends.

        Raises:
            TimeoutError: Neither an empty line nor a complete list document arrived for `idle_timeout_ms`,
                or no line at all for `first_line_timeout_ms`.
            ConnectionClosed: The connection was closed, or the bytes are not HTTP.
            MalformedEndpointList: A list has an unreadable entry and the complete list is to be requested.
            ValueError: The lines are no list documents.
        """
        while True:
            self.apply_available()
            if self._error is not None:
                raise self._error
            if self._lines.is_at_end:
                return
            if self._has_more:
                await checkpoint()
                continue
            timeout_ms = min(idle_timeout_ms, first_line_timeout_ms if self._is_first_line else math.inf)
            await self._wait_until_readable(self._latest_at + timeout_ms / 1000.0)

    def apply_available(self) -> None:
        """Pass on the updates that have arrived, without waiting."""
        # After a large amount of work the rest is left to the task of the watch, so that other tasks run.
        if self._error is not None:
            return
        began_at = monotonic_ms()
        try:
            self._apply(MAX_WORK_PER_CALL)
        except Exception as error:  # raised in the task of the watch
            self._error = error
        if self._hold_ups is not None:
            self._hold_ups.record(Work.ENDPOINT_LIST, began_at)
        if self._error is not None or self._lines.is_at_end:
            self._connection.close()  # wakes the task of the watch

    def _apply(self, max_work: int) -> None:
        # Read parts of the response and handle their lines, until none is left or `max_work` of both is done.
        work_done = 0
        while work_done < max_work:
            if not self._lines.read_available():
                self._has_more = False
                return
            work_done += 1 + len(self._lines.lines)
            while self._lines.lines:
                self._handle_line(self._lines.lines.popleft())
        self._has_more = True

    async def _wait_until_readable(self, timeout_at: float) -> None:
        # Raises TimeoutError only if nothing had arrived at the last read, however late this process runs.
        now = anyio.current_time()
        if now >= timeout_at:
            raise TimeoutError
        with anyio.move_on_after(timeout_at - now), contextlib.suppress(ConnectionClosed):
            await self._connection.wait_until_readable()

    def _handle_line(self, line: bytes) -> None:
        document = self._assembler.add(line)
        if document is not None:
            self._apply_document(document)
        elif not self._assembler.has_begun and self._is_first_line and self._endpoint_list.version:
            self._on_update([], False)  # nothing has changed since the requested version
        self._is_first_line = False
        # A document that never ends counts as idle, too.
        if not self._assembler.has_begun:
            self._latest_at = anyio.current_time()

    def _apply_document(self, document: object) -> None:
        update = self._endpoint_list.apply_document(document, self._is_first_document)
        self._is_first_document = False
        self._on_update(update.entries, update.is_complete)
        if 0 < self._endpoint_list.consecutive_unreadable_lists <= MAX_CONSECUTIVE_UNREADABLE_LISTS:
            # The complete list is requested again: it may have a readable entry for this endpoint.
            raise MalformedEndpointList("an entry of the endpoint list cannot be parsed")
