"""One TCP connection without a library's buffers in between: what was written is known to the byte."""

import contextlib
import errno
import fcntl
import math
import socket
import struct
import termios

import anyio

DROPPED_AT_ONCE = 64  # reads of one buffer, 1 MiB in all, before others have their turn


STAMP = getattr(socket, "SO_TIMESTAMPNS", 35)  # Linux: the kernel says when bytes came, as CLOCK_REALTIME
LEFT = (7, 8)  # Linux, tcp_info: CLOSE, CLOSE_WAIT
STAMPED = struct.Struct("ll")  # s, ns
STAMP_ROOM = socket.CMSG_SPACE(STAMPED.size)
AT_ONCE = struct.pack("ii", 1, 0)  # linger: on, 0 s; what has not arrived by the close never will
COUNT = struct.Struct("i")


class ConnectionClosed(Exception):
    """The connection is over.

    `written` tells whether the kernel had taken all bytes of the last message; `refused` that the other
    side's machine said no to the connect.
    """

    def __init__(self, written, refused=False):
        super().__init__("the connection is over")
        self.written, self.refused = written, refused


class Connection:
    """A connection and its parser. Who opens or accepts it closes it."""

    def __init__(self, sock, buffers, parser):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket, self.buffers, self.parser = sock, buffers, parser
        self.idle_since = None  # None: it never idled, so its call is the first on it
        self.received_at = None  # Unix ms at which the kernel had the bytes read last; None: it does not say

    def enable_timestamps(self):
        """From now on the kernel notes when bytes come: what we read late is told from what came late."""
        # Then lateness of ours counts as the other side's, as before.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, STAMP, 1)
        return self

    async def write(self, *parts):
        """All parts as one message, in order."""
        left = memoryview(b"".join(parts))
        while left:
            try:
                left = left[self.socket.send(left) :]
            except BlockingIOError:
                await self._when(anyio.wait_writable)
            except OSError:
                raise ConnectionClosed(False) from None

    def read_available(self):
        """Hand the parser what has come; False when nothing has."""
        try:
            with self.buffers.borrow() as buffer:
                size, notes, _, _ = self.socket.recvmsg_into([buffer], STAMP_ROOM)
                for level, kind, data in notes:
                    if (level, kind) == (socket.SOL_SOCKET, STAMP) and len(data) == STAMPED.size:
                        seconds, nanos = STAMPED.unpack(data)
                        self.received_at = seconds * 1000.0 + nanos / 1e6
                self.parser.receive_data(bytes(buffer[:size]))
        except BlockingIOError:
            return False
        except (OSError, RuntimeError):  # the latter: the parser was told of the end before
            raise ConnectionClosed(True) from None
        return True

    async def read(self):
        """Wait for bytes and feed them to the parser; Broken when the connection is over."""
        while not self.read_available():
            await self._when(anyio.wait_readable)

    def peer_has_closed(self):
        """The other side has closed, whatever of it is still unread."""
        try:
            return self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in LEFT
        except OSError:
            return True

    async def wait_until_readable(self):
        """Wait until there is something to read, or the end."""
        await self._when(anyio.wait_readable)

    async def _when(self, can):
        try:
            await can(self.socket)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionClosed(True) from None  # closed here while this task waited

    def shutdown_write(self):
        """End our side. Whoever waits to read is woken, and finds it broken."""
        # The other side has closed or reset it.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        anyio.notify_closing(self.socket)

    async def shutdown_and_drain(self, most_ms):
        """End our side, and read on until the other ends too: else a reset may overtake the answer."""
        with anyio.move_on_after(most_ms / 1000.0):
            try:
                self.socket.shutdown(socket.SHUT_WR)
                while True:
                    await self._when(anyio.wait_readable)
                    if self._drop():
                        return
            except (OSError, ConnectionClosed):
                pass

    def _drop(self):
        """Read and forget what has come; True at the end.

        Much at once, for each wait costs more than a read.
        """
        with self.buffers.borrow() as buffer:
            for _ in range(DROPPED_AT_ONCE):
                try:
                    if not self.socket.recv_into(buffer):
                        return True
                except BlockingIOError:
                    break
        return False

    def is_untouched(self):
        """Nothing has come since the last answer: neither an end nor stray bytes."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close(self):
        """Whoever waits on it is woken, and finds it broken."""
        if self.socket.fileno() >= 0:
            anyio.notify_closing(self.socket)
            self.socket.close()

    def reset(self):
        """Close, and let nothing more arrive of what was written: the kernel would go on for minutes."""
        # It is over, or the kernel closes in its own way.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        self.close()

    def is_all_acknowledged(self):
        """Whether the other machine has acknowledged all that was written.

        So, too, where the kernel can't say.
        """
        try:
            return not any(fcntl.ioctl(self.socket, termios.TIOCOUTQ, COUNT.pack(0)))
        except OSError:
            return True


async def connect(address, buffers, parser, patience_ms=math.inf):
    """A connection to (host, port); Broken when it is refused, or never comes up within our patience."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # no descriptor is free
        raise ConnectionClosed(False) from None
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            with anyio.move_on_after(patience_ms / 1000.0):
                await anyio.wait_writable(sock)
            # Also after our patience: a process that stood still may find it up, or refused, beside the
            # timer.
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if not code:
                sock.getpeername()
        if code:
            raise ConnectionClosed(False, code == errno.ECONNREFUSED)
        return Connection(sock, buffers, parser)
    except BaseException as fault:
        sock.close()
        if isinstance(fault, OSError):
            raise ConnectionClosed(False) from None
        raise


def open_listener(address, backlog):
    """A socket that listens on (host, port).

    So many may wait there to be accepted, or as many as the kernel lets.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def parse_address(text):
    """Parse "10.0.0.4:9000" into (host, port); ValueError when it is no such thing."""
    host, _, port = str(text).rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)
