"""TCP connections without a library's buffers in between."""

# The bytes written are therefore known exactly.

import contextlib
import fcntl
import socket
import struct
import termios
from enum import Enum, auto
from typing import Self

import anyio

from swiftthread.clocks import monotonic_ms, unix_ms
from swiftthread.network import timestamps
from swiftthread.network.buffer_pool import BufferPool

# Reads of one buffer each, 1 MiB in total, after which other connections are served.
MAX_DISCARDED_READS_PER_WAKEUP = 64
# Values of tcp_info.tcpi_state on Linux: the first one, and those once the peer has closed.
TCP_ESTABLISHED = 1
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


class TcpConnection:
    """A connected socket."""

    # The caller that opens or accepts a connection closes it.

    __slots__ = ("socket", "buffers", "received_at", "last_read_at")

    def __init__(self, sock: socket.socket, buffers: BufferPool) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self.buffers = buffers
        self.received_at: float | None = None
        """Monotonic ms at which the kernel received the bytes that were read last; None if the kernel gave no
        timestamp."""
        self.last_read_at = monotonic_ms() - MAX_ACCEPT_DELAY_MS
        """Monotonic ms of the last read; bytes that are read later arrived after it. The first bytes may have
        arrived while the connection waited to be accepted, so the initial value lies in the past."""

    def enable_timestamps(self) -> Self:
        """Set `received_at` on each read from now on."""
        # This distinguishes late reads from late arrivals. Without kernel support, delays of this process
        # count as delays of the peer.
        with contextlib.suppress(OSError):
            timestamps.enable_timestamps(self.socket)
        return self

    def receive_available(self) -> bytes | None:
        """Return bytes that have arrived, at most one buffer; b"" for the peer's end, None if there are none.

        Raises:
            ConnectionClosed: The connection has failed.
        """
        try:
            with self.buffers.borrow() as buffer:
                size, ancillary_data, _, _ = self.socket.recvmsg_into([buffer], timestamps.ANCILLARY_BYTES)
                now = monotonic_ms()
                received_at = timestamps.arrived_at_ms(ancillary_data, now, unix_ms(), self.last_read_at)
                self.last_read_at = now
                if received_at is not None:
                    self.received_at = received_at
                return bytes(buffer[:size])
        except BlockingIOError:
            return None
        except OSError:
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
            state = 0
        if state < TCP_ESTABLISHED:  # the system does not tell; unread bytes may hide the close
            return self.unread_input() is UnreadInput.END
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

    def discard_available(self) -> bool:
        """Read and discard what has arrived, up to 1 MiB; return whether the peer has closed its side.

        Raises:
            ConnectionClosed: The connection has failed.
        """
        with self.buffers.borrow() as buffer:
            for _ in range(MAX_DISCARDED_READS_PER_WAKEUP):
                try:
                    if not self.socket.recv_into(buffer):
                        return True
                except BlockingIOError:
                    break
                except OSError:
                    raise ConnectionClosed(request_was_written=True) from None
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
