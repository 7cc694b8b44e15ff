"""Client of discovery: follows the endpoint list through a watch, one long HTTP response."""

# A watch that ends or times out is opened again.

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import anyio
from loguru import logger

from swiftthread.client.endpoint_list import EndpointList, EndpointListUpdate
from swiftthread.client.http_exchange import PARSE_ERRORS, HttpRequest, client_parser, encode_request
from swiftthread.client.json_stream import MAX_OBJECT_BYTES
from swiftthread.client.list_watch import ListWatch, UpdateCallback
from swiftthread.hold_ups import HoldUps
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, connect
from swiftthread.network.tcp_connection import ConnectionClosed


class DiscoveryClient:
    """Watches the endpoint list."""

    # Its owner calls `watch` again whenever a watch has ended or timed out.

    def __init__(
        self,
        address: tuple[str, int],
        buffers: BufferPool,
        kind_numbers: Mapping[str, int],
        zone_numbers: Mapping[str, int],
        idle_timeout_ms: float,
        connect_timeout_ms: float,
        first_line_timeout_ms: float = math.inf,
        max_document_bytes: int = MAX_OBJECT_BYTES,
        hold_ups: HoldUps | None = None,
    ) -> None:
        self.address = address
        """Address of discovery, as (host, port)."""
        self.buffers = buffers
        """Pool of buffers for reads."""
        self.idle_timeout_ms = idle_timeout_ms
        """How long a watch may deliver neither an empty line nor a complete list document.

        After that the watch is closed.
        """
        self.connect_timeout_ms = connect_timeout_ms
        """How long connecting may take."""
        self.first_line_timeout_ms = first_line_timeout_ms
        """How long a new watch may deliver nothing; an agent on this machine answers at once."""
        self.max_document_bytes = max_document_bytes
        """Largest list document that is read; a larger one ends the watch."""
        self._hold_ups = hold_ups
        # `kind_numbers` has the numbers of the endpoint kinds in the settings, by name; `zone_numbers` has
        # the numbers of the zones in the settings, by name.
        self.endpoint_list = EndpointList(kind_numbers, zone_numbers)
        self.watch_scope = anyio.CancelScope()
        self._open_watch: ListWatch | None = None

    @property
    def addresses(self) -> Mapping[str | int, Address]:
        """Addresses as (host, port), by endpoint id."""
        # The mapping is updated in place.
        return self.endpoint_list.addresses

    def change_address(self, address: tuple[str, int]) -> None:
        """Set the address after discovery has moved."""
        # The current watch is cancelled, and the next one requests the complete list at the new address.
        if address != self.address:
            self.address = address
            self.endpoint_list.expect_complete_list()
            self._open_watch = None  # what the previous discovery has written is not read any more
            self.watch_scope.cancel()

    def apply_list(self, document: Any) -> EndpointListUpdate:
        """Apply a list document; see `EndpointList.apply_document`."""
        return self.endpoint_list.apply_document(document)

    def apply_available_updates(self) -> None:
        """Pass on the updates that discovery has written to the open watch, without waiting."""
        if self._open_watch is not None:
            self._open_watch.apply_available()

    async def watch(self, on_update: UpdateCallback) -> bool:
        """Open a watch and pass each update to `on_update`, until the watch ends, times out or fails.

        Returns:
            False if cancelled because discovery has moved, otherwise True.
        """
        with anyio.CancelScope() as self.watch_scope:
            await self._watch(on_update)
        return not self.watch_scope.cancelled_caught

    async def _watch(self, on_update: UpdateCallback) -> None:
        connection: Connection | None = None
        host, port = self.address
        try:
            with anyio.fail_after(self.connect_timeout_ms / 1000.0):
                connection = await connect(self.address, self.buffers, client_parser())
            await self._request_watch(connection)
            self._open_watch = ListWatch(
                connection, self.endpoint_list, on_update, self.max_document_bytes, self._hold_ups
            )
            await self._open_watch.run(self.idle_timeout_ms, self.first_line_timeout_ms)
        except (ConnectionClosed, TimeoutError):
            logger.info(
                "discovery {}:{}: the watch was closed or timed out; another one is opened", host, port
            )
        except PARSE_ERRORS as error:
            self.endpoint_list.expect_complete_list()  # which updates were missed is unknown
            logger.warning(
                "discovery {}:{}: the watch cannot be parsed ({}); the complete list is requested",
                host,
                port,
                error,
            )
        except Exception:  # keeps the node running: the complete list is requested on another connection
            self.endpoint_list.expect_complete_list()
            logger.exception("discovery {}:{}: the watch failed; the complete list is requested", host, port)
        finally:
            self._open_watch = None
            if connection is not None:
                connection.close()

    async def _request_watch(self, connection: Connection) -> None:
        target = f"/catalog/members?watch=1&from={self.endpoint_list.version}"
        request = HttpRequest("GET", target, [("Host", "discovery")])
        await connection.write(*encode_request(connection, request))
