"""One connection of a client, with the request that arrives on it and the response that is written."""

import contextlib
import math
import socket
from collections.abc import Callable

from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.socket_watcher import SocketWatcher
from swiftthread.network.tcp_connection import TcpConnection
from swiftthread.server.messages import Submitter
from swiftthread.server.request_parser import RequestParser

# Memory of a connection without a request.
CONNECTION_BYTES = 2 * 1024
# Memory of a request apart from its bytes: the parser, and what stands for the request while it is handled.
REQUEST_BYTES = 4 * 1024


class ClientConnection(TcpConnection):
    """The connection of a client, without a task of its own."""

    # What it holds is released in `close`.

    __slots__ = (
        "parser",
        "submitter",
        "is_first_request",
        "has_submitted_event",
        "times_out_at",
        "request_received_at",
        "reserved_bytes",
        "is_admitted",
        "counts_as_admitted",
        "is_broken",
        "_watcher",
        "_memory",
        "is_watched",
        "_unsent",
        "_on_sent",
    )

    def __init__(
        self, sock: socket.socket, buffers: BufferPool, watcher: SocketWatcher, memory: MemoryAccount
    ) -> None:
        super().__init__(sock, buffers)
        self.parser: RequestParser | None = None
        """Parses the request that arrives; None while none does."""
        self.submitter = Submitter()
        self.is_first_request = True
        self.has_submitted_event = False
        self.times_out_at = math.inf
        """When the current state times out, in s on the event loop's clock."""
        self.request_received_at: float | None = None
        """Monotonic ms at which the first bytes of the request arrived; None if the kernel did not tell."""
        self.reserved_bytes = 0
        """Bytes reserved for its incomplete request."""
        self.is_admitted = False
        """Whether the next request may be read, after it has waited for that."""
        self.counts_as_admitted = False
        """Whether the request that arrives counts toward those that may be read."""
        self.is_watched = False
        """Whether a function is called when input or output is possible."""
        self.is_broken = False
        """Whether a response could not be written."""
        self._watcher = watcher
        self._memory = memory
        self._unsent = b""
        self._on_sent: Callable[[], None] | None = None
        memory.reserve(MemoryUse.CONNECTIONS, CONNECTION_BYTES)

    @property
    def is_open(self) -> bool:
        """Whether this process has not closed it."""
        return self.socket.fileno() >= 0

    @property
    def has_unsent_output(self) -> bool:
        """Whether the kernel has not taken the whole response yet."""
        return self._on_sent is not None

    def has_nothing_to_read(self) -> bool:
        """Return whether no part of a request has arrived that was not handled."""
        has_input = self.parser is not None and self.parser.has_input
        return not has_input and super().has_nothing_to_read()

    def watch_input(self, callback: Callable[[], None]) -> None:
        """Call `callback` when input arrives, until `unwatch`."""
        self.is_watched = True
        self._watcher.watch_input(self.socket, callback)

    def unwatch(self) -> None:
        """End the watch."""
        if self.is_watched:
            self.is_watched = False
            self._watcher.unwatch(self.socket)

    def try_reserve(self, size: int) -> bool:
        """Change the reservation for the request to `size` bytes; return whether that is possible."""
        missing = size - self.reserved_bytes
        if missing > 0 and not self._memory.try_reserve(MemoryUse.REQUESTS, missing):
            return False
        if missing < 0:
            self._memory.release(MemoryUse.REQUESTS, -missing)
        self.reserved_bytes = size
        return True

    def send(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """Write a response. `on_sent` is called once the kernel has taken it, or the connection is closed."""
        self._on_sent = on_sent
        self._unsent = data
        self._send_unsent()

    def send_if_possible(self, data: bytes) -> None:
        """Write a few bytes that are dropped if the kernel does not take them."""
        with contextlib.suppress(OSError):
            self.socket.send(data)

    def _send_unsent(self) -> None:
        try:
            self._unsent = self._unsent[self.socket.send(self._unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self.is_broken = True
            self._unsent = b""
        if not self._unsent:
            self._finish_sending()
            return
        self.is_watched = True
        self._watcher.watch_output(self.socket, self._continue_sending)

    def _continue_sending(self) -> None:
        self.unwatch()
        self._send_unsent()

    def _finish_sending(self) -> None:
        on_sent = self._on_sent
        self._on_sent = None
        if on_sent is not None:
            on_sent()

    def close(self) -> None:
        """Close the socket, and release what the connection holds."""
        if not self.is_open:
            return
        self.unwatch()
        self.try_reserve(0)
        self._memory.release(MemoryUse.CONNECTIONS, CONNECTION_BYTES)
        self.parser = None
        self.socket.close()
        self._finish_sending()
