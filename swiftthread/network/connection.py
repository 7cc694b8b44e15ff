"""TCP connections without a library's buffers in between."""

# The bytes written are therefore known exactly.

import contextlib
import errno
import fcntl
import math
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Self

import anyio
import h11

from swiftthread.clocks import monotonic_ms, unix_ms
from swiftthread.network import timestamps
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool

# Reads of one buffer each, 1 MiB in total, after which other tasks get to run.
MAX_DISCARDED_READS_PER_WAKEUP = 64
# Values of tcp_info.tcpi_state on Linux once the peer has closed.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
# SO_LINGER enabled with 0 s: bytes that are not delivered when the socket closes are discarded.
LINGER_ZERO = struct.pack("ii", 1, 0)
# Longest time that an established connection waits to be accepted while its peer is still connected.
MAX_ACCEPT_DELAY_MS = 3000.0
TIOCOUTQ_RESULT = struct.Struct("i")  # the number of written bytes that the peer's host has not acknowledged
RESPONSE_PREFIX = b"HTTP/1."  # the first bytes of every HTTP/1.x response


class UnreadInput(Enum):
    """What has arrived on a connection since its last read."""

    NOTHING = auto()
    END = auto()
    """The peer has closed or reset the connection."""
    RESPONSE = auto()
    """Bytes that may be the beginning of an HTTP response."""
    OTHER_BYTES = auto()


class ConnectionClosed(Exception):
    """The connection has closed, or could not be established."""

    def __init__(self, request_was_written: bool, was_refused: bool = False) -> None:
        super().__init__("the connection has closed or could not be established")
        self.request_was_written = request_was_written
        """Whether the kernel had accepted all bytes of the last message."""
        self.was_refused = was_refused
        """Whether the peer's host refused the connection (ECONNREFUSED)."""


class Connection:
    """A connected socket and its HTTP parser."""

    # The caller that opens or accepts a connection closes it.

    def __init__(self, sock: socket.socket, buffers: BufferPool, parser: h11.Connection) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self.buffers = buffers
        self.parser = parser
        self.received_at: float | None = None
        """Monotonic ms at which the kernel received the bytes that were read last; None if the kernel gave no
        timestamp."""
        # Monotonic ms. Bytes that are read later arrived after this time. The first bytes may have arrived
        # while the connection waited to be accepted, so the initial value lies in the past.
        self._last_read_at = monotonic_ms() - MAX_ACCEPT_DELAY_MS

    def enable_timestamps(self) -> Self:
        """Set `received_at` on each read from now on."""
        # This distinguishes late reads from late arrivals. Without kernel support, delays of this process
        # count as delays of the peer.
        with contextlib.suppress(OSError):
            timestamps.enable_timestamps(self.socket)
        return self

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

    def read_available(self) -> bool:
        """Pass the bytes that have arrived to the parser; return False if there are none.

        Raises:
            ConnectionClosed: The connection has failed, or its end was read before.
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
        except (OSError, RuntimeError):  # RuntimeError: the parser has already received the end
            raise ConnectionClosed(request_was_written=True) from None
        return True

    async def read(self) -> None:
        """Wait for bytes and pass them to the parser.

        Raises:
            ConnectionClosed: The connection has failed, or its end was read before.
        """
        while not self.read_available():
            await self._wait(anyio.wait_readable)

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

    def has_nothing_to_read(self) -> bool:
        """Return whether nothing has arrived since the last read."""
        # Both bytes and the peer's close count as an arrival.
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def unread_input(self) -> UnreadInput:
        """Return what has arrived since the last read, without reading it."""
        try:
            first_bytes = self.socket.recv(len(RESPONSE_PREFIX), socket.MSG_PEEK)
        except BlockingIOError:
            return UnreadInput.NOTHING
        except OSError:
            return UnreadInput.END
        if not first_bytes:
            return UnreadInput.END
        return UnreadInput.RESPONSE if RESPONSE_PREFIX.startswith(first_bytes) else UnreadInput.OTHER_BYTES

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed."""
        # The result is True even if bytes that it sent are still unread.
        try:
            state = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return True
        return state in (TCP_CLOSE, TCP_CLOSE_WAIT)

    def is_all_acknowledged(self) -> bool:
        """Return whether the peer's host has acknowledged all written bytes; True if that is not known."""
        try:
            return not any(fcntl.ioctl(self.socket, termios.TIOCOUTQ, TIOCOUTQ_RESULT.pack(0)))
        except OSError:
            return True

    def shutdown_write(self) -> None:
        """Shut down the sending side."""
        # A task that waits to read wakes up with ConnectionClosed. The peer may have closed or reset the
        # connection already.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        anyio.notify_closing(self.socket)

    async def shutdown_and_drain(self, timeout_ms: float) -> None:
        """Shut down the sending side, and discard input."""
        # Input is discarded until the peer closes too or the timeout expires. Closing the socket with unread
        # bytes would send a reset, which may overtake the response.
        with anyio.move_on_after(timeout_ms / 1000.0), contextlib.suppress(OSError, ConnectionClosed):
            self.socket.shutdown(socket.SHUT_WR)
            while True:
                await self._wait(anyio.wait_readable)
                if self._discard_available():
                    return

    def _discard_available(self) -> bool:
        # Read and discard what has arrived, many buffers at once, because a wait costs more than a read.
        # Return whether the peer has closed its side.
        with self.buffers.borrow() as buffer:
            for _ in range(MAX_DISCARDED_READS_PER_WAKEUP):
                try:
                    if not self.socket.recv_into(buffer):
                        return True
                except BlockingIOError:
                    break
        return False

    def close(self) -> None:
        """Close the socket."""
        # A task that waits for it wakes up with ConnectionClosed.
        if self.socket.fileno() >= 0:
            anyio.notify_closing(self.socket)
            self.socket.close()

    def reset(self) -> None:
        """Close the socket and discard undelivered bytes."""
        # The kernel would retry them for minutes. If the connection has closed already, an ordinary close is
        # enough.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.close()


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
