"""Discovery: the endpoint list, by a watch that is opened anew when it ends or falls silent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
from loguru import logger

from swiftthread.client.endpoint_list import EndpointList, EndpointListUpdate, MalformedEndpointList
from swiftthread.client.http_exchange import PARSE_ERRORS, HttpRequest, client_parser, encode_request
from swiftthread.client.json_stream import BodyLineReader, JsonAssembler
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, ConnectionClosed, connect
from swiftthread.routing.messages import EndpointEntry

MAX_UNREADABLE_IN_A_ROW = 2  # lists with an unreadable entry after which it is tolerated

UpdateCallback = Callable[[list[EndpointEntry], bool], Awaitable[None]]
"""Takes the fields of an `EndpointListUpdate`."""


class DiscoveryClient:
    """Watches the endpoint list."""

    def __init__(
        self,
        address: tuple[str, int],
        buffers: BufferPool,
        kind_numbers: Mapping[str, int],
        zone_numbers: Mapping[str, int],
        idle_timeout_ms: float,
        connect_timeout_ms: float,
    ) -> None:
        """Construct the client.

        Args:
            address: (host, port) of discovery.
            buffers: Buffers for reads.
            kind_numbers: Number by name of the endpoint kinds in the settings.
            zone_numbers: Number by name of the zones in the settings.
            idle_timeout_ms: How long a watch may go without a whole line, or list, before it is given up.
            connect_timeout_ms: How long a connect may take.
        """
        self.address = address
        self.buffers = buffers
        self.idle_timeout_ms = idle_timeout_ms
        self.connect_timeout_ms = connect_timeout_ms
        self.endpoint_list = EndpointList(kind_numbers, zone_numbers)
        self.watch_scope = anyio.CancelScope()

    @property
    def addresses(self) -> Mapping[str | int, Address]:
        """The mapping of endpoint ids to (host, port), which is kept up to date in place."""
        return self.endpoint_list.addresses

    def change_address(self, address: tuple[str, int]) -> None:
        """Discovery has moved: the watch ends, and the next asks there for the complete list."""
        if address != self.address:
            self.address = address
            self.endpoint_list.version = 0
            self.watch_scope.cancel()

    def apply_list(self, page: Any) -> EndpointListUpdate:
        """Read a page in discovery's form; see `EndpointList.apply_page`."""
        return self.endpoint_list.apply_page(page)

    async def watch(self, on_update: UpdateCallback) -> bool:
        """Hand each update to `on_update`, until the watch ends, falls silent or breaks.

        Returns:
            False when discovery has moved.
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
            await self._follow(connection, on_update)
        except (ConnectionClosed, TimeoutError):
            logger.info("discovery {}:{}: the watch ended", host, port)
        except PARSE_ERRORS as error:
            self.endpoint_list.version = 0  # what was missed is unknown: the complete list is asked for
            logger.warning(
                "discovery {}:{}: the watch cannot be read ({}); the complete list is asked for",
                host,
                port,
                error,
            )
        except Exception:  # guards the node: the complete list is asked for on another connection
            self.endpoint_list.version = 0
            logger.exception("discovery {}:{}: the watch failed", host, port)
        finally:
            if connection is not None:
                connection.close()

    async def _request_watch(self, connection: Connection) -> None:
        target = f"/catalog/members?watch=1&from={self.endpoint_list.version}"
        request = HttpRequest("GET", target, [("Host", "discovery")])
        await connection.write(*encode_request(connection, request))

    async def _follow(self, connection: Connection, on_update: UpdateCallback) -> None:
        """Hand on updates until the body ends; TimeoutError when it falls silent."""
        lines = BodyLineReader(connection)
        assembler = JsonAssembler()
        while True:
            page = None
            # An object that does not end is silence, too.
            with anyio.fail_after(self.idle_timeout_ms / 1000.0):
                while (line := await lines.read_line()) is not None:
                    page = assembler.add(line)
                    if page is not None or not assembler.has_begun:
                        break
            if line is None:
                return
            if page is None:
                continue  # an empty line, which keeps the watch alive
            entries, is_complete = self.apply_list(page)
            await on_update(entries, is_complete)
            if 0 < self.endpoint_list.unreadable_in_a_row <= MAX_UNREADABLE_IN_A_ROW:
                # The complete list, asked for anew, may name the endpoint in a form that can be read.
                raise MalformedEndpointList("an entry of the list cannot be read")
