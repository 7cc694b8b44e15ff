"""TCP connections on which this node is the HTTP client."""

import errno
import math
import socket
from collections.abc import Awaitable, Callable

import anyio
import h11

from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.tcp_connection import ConnectionClosed, TcpConnection


class Connection(TcpConnection):
    """A connected socket and its HTTP parser."""

    __slots__ = ("parser",)

    def __init__(self, sock: socket.socket, buffers: BufferPool, parser: h11.Connection) -> None:
        super().__init__(sock, buffers)
        self.parser = parser

    async def write(self, *parts: bytes) -> None:
        """Write all parts, in order, as one message.

        Raises:
            ConnectionClosed: The connection closed before all bytes were written.
        """
        remaining = memoryview(b"".join(parts))
        while remaining:
            try:
                remaining = remaining[self.socket.send(remaining) :]
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            except OSError:
                raise ConnectionClosed(request_was_written=False) from None

    def read_available(self, on_received: Callable[[int], None] | None = None) -> bool:
        """Pass the bytes that have arrived to the parser; return False if there are none.

        `on_received` is called with their number.

        Raises:
            ConnectionClosed: The connection has failed, or its end was read before.
        """
        data = self.receive_available()
        if data is None:
            return False
        try:
            self.parser.receive_data(data)
        except RuntimeError:  # the parser has already received the end
            raise ConnectionClosed(request_was_written=True) from None
        if on_received is not None:
            on_received(len(data))
        return True

    async def read(self, on_received: Callable[[int], None]) -> bool:
        """Wait for bytes and pass them to the parser; return whether they had arrived before.

        `on_received` is called with their number.

        Raises:
            ConnectionClosed: The connection has failed, or its end was read before.
        """
        if self.read_available(on_received):
            return True
        await self._wait(anyio.wait_readable)
        while not self.read_available(on_received):
            await self._wait(anyio.wait_readable)
        return False

    async def wait_until_readable(self) -> None:
        """Wait until there are bytes to read, or the peer has closed its side.

        Raises:
            ConnectionClosed: The connection was closed by this process.
        """
        await self._wait(anyio.wait_readable)

    async def _wait(self, wait_until_ready: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait_until_ready(self.socket)
        except (anyio.ClosedResourceError, OSError, ValueError):
            # This process closed the socket while the task waited.
            raise ConnectionClosed(request_was_written=True) from None


async def connect(
    address: Address, buffers: BufferPool, parser: h11.Connection, timeout_ms: float = math.inf
) -> Connection:
    """Open a connection to `address`.

    Raises:
        ConnectionClosed: The connection was refused or failed, was not established within `timeout_ms`, or no
            file descriptor is free.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # no file descriptor is free
        raise ConnectionClosed(request_was_written=False) from None
    try:
        await _establish(sock, address, timeout_ms)
        return Connection(sock, buffers, parser)
    except OSError:
        sock.close()
        raise ConnectionClosed(request_was_written=False) from None
    except BaseException:
        sock.close()
        raise


async def _establish(sock: socket.socket, address: Address, timeout_ms: float) -> None:
    sock.setblocking(False)
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        with anyio.move_on_after(timeout_ms / 1000.0):
            await anyio.wait_writable(sock)
        # Checked after a timeout too: when a suspended process resumes, its timer may have expired although
        # the connection has been established or refused.
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error:
            sock.getpeername()  # raises OSError while the connection is not established
    if error:
        raise ConnectionClosed(request_was_written=False, was_refused=error == errno.ECONNREFUSED)
