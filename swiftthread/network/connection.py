"""One TCP connection without a library's buffers in between: what was written is known to the byte."""

import contextlib
import errno
import fcntl
import math
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import Self

import anyio
import h11

from swiftthread.clocks import monotonic_ms, unix_ms
from swiftthread.network import timestamps
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool

# Reads of one buffer, 1 MiB in all, before other tasks have their turn.
MAX_READS_DISCARDED_AT_ONCE = 64
# tcp_info.tcpi_state on Linux once the peer has closed.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
# Linger on, 0 s: what has not been delivered by the close never will be.
LINGER_NOT_AT_ALL = struct.pack("ii", 1, 0)
# For so long at most a connection that came up waits to be accepted with somebody at its other end.
MAX_ACCEPT_DELAY_MS = 3000.0
UNACKNOWLEDGED_BYTES = struct.Struct("i")  # the result of TIOCOUTQ


class ConnectionClosed(Exception):
    """The connection is over, or never came up.

    Attributes:
        request_was_written: Whether the kernel had accepted all bytes of the last message.
        was_refused: Whether the peer's host refused to connect.
    """

    def __init__(self, request_was_written: bool, was_refused: bool = False) -> None:
        super().__init__("the connection is over")
        self.request_was_written = request_was_written
        self.was_refused = was_refused


class Connection:
    """A connected socket and its HTTP parser. Who opens or accepts it closes it.

    Attributes:
        idle_since: When a pool last took it in, on the pool's clock; None before its first use is over.
        received_at: Monotonic ms at which the kernel had the bytes read last; None when it does not say.
    """

    def __init__(self, sock: socket.socket, buffers: BufferPool, parser: h11.Connection) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self.buffers = buffers
        self.parser = parser
        self.idle_since: float | None = None
        self.received_at: float | None = None
        # Monotonic ms. Bytes read later had not arrived then, but for the first: they may have come while the
        # connection waited to be accepted.
        self._last_read_at = monotonic_ms() - MAX_ACCEPT_DELAY_MS

    def enable_timestamps(self) -> Self:
        """Fill `received_at` from now on, so that a late read is told from a late arrival."""
        # Without support by the kernel, our own delays count as the peer's.
        with contextlib.suppress(OSError):
            timestamps.enable_timestamps(self.socket)
        return self

    async def write(self, *parts: bytes) -> None:
        """Write all parts, in order, as one message.

        Raises:
            ConnectionClosed: the connection ended before all was written.
        """
        remaining = memoryview(b"".join(parts))
        while remaining:
            try:
                remaining = remaining[self.socket.send(remaining) :]
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            except OSError:
                raise ConnectionClosed(request_was_written=False) from None

    def read_available(self) -> bool:
        """Hand the parser what has arrived; False when nothing has.

        Raises:
            ConnectionClosed: the connection is over.
        """
        try:
            with self.buffers.borrow() as buffer:
                size, ancillary_data, _, _ = self.socket.recvmsg_into([buffer], timestamps.ANCILLARY_BYTES)
                now = monotonic_ms()
                received_at = timestamps.arrived_at_ms(ancillary_data, now, unix_ms(), self._last_read_at)
                self._last_read_at = now
                if received_at is not None:
                    self.received_at = received_at
                self.parser.receive_data(bytes(buffer[:size]))
        except BlockingIOError:
            return False
        except (OSError, RuntimeError):  # the latter: the parser was told of the end before
            raise ConnectionClosed(request_was_written=True) from None
        return True

    async def read(self) -> None:
        """Wait for bytes and hand them to the parser.

        Raises:
            ConnectionClosed: the connection is over.
        """
        while not self.read_available():
            await self._wait(anyio.wait_readable)

    async def wait_until_readable(self) -> None:
        """Wait until there are bytes to read, or the peer's end.

        Raises:
            ConnectionClosed: the connection was closed here.
        """
        await self._wait(anyio.wait_readable)

    async def _wait(self, wait_until_ready: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait_until_ready(self.socket)
        except (anyio.ClosedResourceError, OSError, ValueError):
            # Closed here while this task waited.
            raise ConnectionClosed(request_was_written=True) from None

    def has_nothing_to_read(self) -> bool:
        """Whether nothing has arrived since the last read: neither the peer's end nor stray bytes."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed, whatever of it is still unread."""
        try:
            state = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return True
        return state in (TCP_CLOSE, TCP_CLOSE_WAIT)

    def is_all_acknowledged(self) -> bool:
        """Whether the peer's host has acknowledged all that was written; True where it cannot be told."""
        try:
            return not any(fcntl.ioctl(self.socket, termios.TIOCOUTQ, UNACKNOWLEDGED_BYTES.pack(0)))
        except OSError:
            return True

    def shutdown_write(self) -> None:
        """End our side. A task that waits to read wakes up with ConnectionClosed."""
        # The peer may have closed or reset it already.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        anyio.notify_closing(self.socket)

    async def shutdown_and_drain(self, timeout_ms: float) -> None:
        """End our side, and read until the peer ends too or the time is up.

        A close over unread bytes would send a reset, which may overtake the response.
        """
        with anyio.move_on_after(timeout_ms / 1000.0), contextlib.suppress(OSError, ConnectionClosed):
            self.socket.shutdown(socket.SHUT_WR)
            while True:
                await self._wait(anyio.wait_readable)
                if self._discard_available():
                    return

    def _discard_available(self) -> bool:
        """Read and forget what has arrived, much at once, for a wait costs more than a read.

        Returns:
            Whether the peer has ended its side.
        """
        with self.buffers.borrow() as buffer:
            for _ in range(MAX_READS_DISCARDED_AT_ONCE):
                try:
                    if not self.socket.recv_into(buffer):
                        return True
                except BlockingIOError:
                    break
        return False

    def close(self) -> None:
        """Close the socket. A task that waits on it wakes up with ConnectionClosed."""
        if self.socket.fileno() >= 0:
            anyio.notify_closing(self.socket)
            self.socket.close()

    def reset(self) -> None:
        """Close, and stop delivery of what was written: the kernel would go on for minutes."""
        # Where the connection is over already, an ordinary close does.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT_AT_ALL)
        self.close()


async def connect(
    address: Address, buffers: BufferPool, parser: h11.Connection, timeout_ms: float = math.inf
) -> Connection:
    """Open a connection to `address`.

    Raises:
        ConnectionClosed: it was refused, did not come up within `timeout_ms`, or no descriptor is free.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # no descriptor is free
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
        # Also after the timeout: a process that was suspended may find the connection up, or refused, at
        # the same moment as its timer.
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error:
            sock.getpeername()  # raises while it is not up
    if error:
        raise ConnectionClosed(request_was_written=False, was_refused=error == errno.ECONNREFUSED)
