"""HTTP server: accepts clients, makes room for new ones, and shuts down."""

# The requests of its connections are served by `ConnectionHandler`.

import math
import socket
from collections import Counter
from collections.abc import Callable
from itertools import islice

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from loguru import logger

from swiftthread.clocks import monotonic_ms
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.server.client_close_reason import ClientCloseReason
from swiftthread.server.client_connection import CONNECTION_BYTES, ClientConnection
from swiftthread.server.connection_handler import ConnectionHandler, ConnectionLimits
from swiftthread.server.connection_table import (
    MAX_EVICTION_CANDIDATES,
    NEW_GRACE_S,
    ConnectionState,
    ConnectionTable,
)

# Time in which `finish_shutdown` answers and closes all connections. It begins at least 0.3 s before SIGKILL.
SHUTDOWN_TIMEOUT_S = 0.2
SHUTDOWN_POLL_INTERVAL_S = 0.005
CAPACITY_POLL_INTERVAL_S = 0.01
# Interval at which connections are checked for time-outs.
TIMEOUT_CHECK_INTERVAL_S = 0.05
# A client sends a request at once. If all connections are in use, one is evicted for a new client whose
# request is incomplete and has not gone on for this time.
STALLED_AFTER_MS = 100.0
# Pause after a failure to accept a client; the usual cause is that no file descriptor is free.
ACCEPT_RETRY_PAUSE_S = 0.05
# Clients that are accepted before the connected ones have their turn, and during each poll of a shutdown.
MAX_ACCEPTS_PER_TURN = 8
MAX_ACCEPTS_PER_SHUTDOWN_POLL = 64


class HttpServer:
    """Accepts the connections of a listener and serves their requests."""

    def __init__(
        self,
        handler: ConnectionHandler,
        buffers: BufferPool,
        limits: ConnectionLimits,
        memory: MemoryAccount,
        request_cycle: Callable[[], None],
    ) -> None:
        # Create a server; `serve` runs it. `handler` serves the connections that it accepts. `buffers` are
        # the receive buffers. `limits` are the limits on the number of client connections. `memory` is the
        # account of the memory that connections and requests hold. `request_cycle` requests a scheduling
        # cycle, during which the caller must call `admit_waiting`.
        self.limits = limits
        self.accepted_count = 0
        """Connections accepted since the start."""
        self._handler = handler
        self._buffers = buffers
        self._memory = memory
        self._request_cycle = request_cycle
        self._has_clients = anyio.Event()

    @property
    def connections(self) -> ConnectionTable:
        """The accepted connections."""
        return self._handler.connections

    async def serve(self, listener: socket.socket, tasks: TaskGroup) -> None:
        """Accept clients until the task is cancelled or the listener is closed."""
        # Clients connect to the listening socket `listener`. `tasks` runs the check for time-outs.
        tasks.start_soon(self._check_timeouts)
        while True:
            try:
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    await self._wait_for_capacity()
                    self._accept(listener)
                await checkpoint()
                continue
            except BlockingIOError:
                if not await _wait_for_client(listener):
                    return
                continue
            except OSError as error:
                if listener.fileno() < 0:
                    return
                logger.warning("a client could not be accepted: {}; retrying after a pause", error.strerror)
            except Exception:  # protects the connected clients: the server goes on accepting
                logger.exception("a client could not be accepted; the server goes on accepting after a pause")
            await anyio.sleep(ACCEPT_RETRY_PAUSE_S)

    def admit_waiting(self) -> None:
        """Admit as many waiting requests as may be read in this scheduling cycle."""
        self._handler.admit_waiting()

    def waiting_count(self) -> int:
        """Return how many connections wait until their request may be read."""
        return len(self._handler.admission_queue)

    def take_close_counts(self) -> Counter[ClientCloseReason]:
        """Return how many connections ended since the previous call, by reason."""
        counts = self._handler.close_counts
        self._handler.close_counts = Counter()
        return counts

    def begin_shutdown(self) -> None:
        """Begin the shutdown."""
        # Connections between requests are closed now, the others with their next response. Connections
        # accepted less than NEW_GRACE_S ago stay open, because their request may be on its way.
        self._handler.is_shutting_down = True
        self._begin_close_of_inactive(anyio.current_time() - NEW_GRACE_S)

    def has_pending_responses(self) -> bool:
        """Return whether any client waits for a response to a request."""
        # The request may be read or still unread.
        return bool(
            self.connections.count(ConnectionState.IN_REQUEST)
            or self._handler.admission_queue
            or self.connections.has_unread_request()
        )

    async def finish_shutdown(self, listener: socket.socket) -> None:
        """Finish the shutdown."""
        # The listener is closed, the requests received are answered, and all connections are closed. Closing
        # a socket with unread bytes sends a reset, which may overtake a response. Each connection therefore
        # gets time for its request to be read and answered.
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
            while len(self.connections) or listener.fileno() >= 0:
                if listener.fileno() >= 0 and self._accept_backlog(listener):
                    _close_listener(listener)  # who connects now is refused, and may submit elsewhere
                self._begin_close_of_inactive(math.inf)
                self._request_cycle()  # waiting requests are admitted in a scheduling cycle
                await anyio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        _close_listener(listener)
        for connection in self.connections.all():
            self._handler.close(connection)

    def _accept_backlog(self, listener: socket.socket) -> bool:
        # Accept the clients that wait to be accepted, while there is capacity; return whether none is left.
        try:
            for _ in range(MAX_ACCEPTS_PER_SHUTDOWN_POLL):
                if self._is_full() and not self._evict_one():
                    break
                self._accept(listener)
        except BlockingIOError:
            return True
        except OSError:  # no descriptor is free: the next poll tries again
            return False
        return False

    def _accept(self, listener: socket.socket) -> None:
        sock, _ = listener.accept()
        connection = ClientConnection(sock, self._buffers, self._handler.watcher, self._memory)
        connection.enable_timestamps()
        self.accepted_count += 1
        self._handler.begin(connection)
        self._has_clients.set()

    async def _wait_for_capacity(self) -> None:
        # Wait until one more connection may be open; meanwhile new clients wait in the listen backlog.
        while self._is_full():
            if not self._evict_one():
                await anyio.sleep(CAPACITY_POLL_INTERVAL_S)

    def _evict_one(self) -> bool:
        # Evict a connection for a new one; return whether there was one.
        is_evicted = self.connections.evict_one() or self._evict_stalled_request()
        self._handler.close_counts[ClientCloseReason.CONNECTION_LIMIT] += is_evicted
        return is_evicted

    def _evict_stalled_request(self) -> bool:
        # Evict a connection whose request has stopped to arrive; return whether there was one.
        stalled_since = monotonic_ms() - STALLED_AFTER_MS
        in_request = self.connections.in_state(ConnectionState.IN_REQUEST)
        for connection, _ in islice(in_request, MAX_EVICTION_CANDIDATES):
            if connection.last_read_at < stalled_since and connection.has_nothing_to_read():
                self._handler.close(connection)
                return True
        return False

    def _begin_close_of_inactive(self, new_accepted_by: float) -> None:
        closed_count = self.connections.begin_close_of_inactive(new_accepted_by)
        self._handler.close_counts[ClientCloseReason.SHUTDOWN] += closed_count

    def _is_full(self) -> bool:
        max_clients = self._memory.limit_of(MemoryUse.CONNECTIONS) // CONNECTION_BYTES
        return len(self.connections) >= min(self.limits.max_clients, max_clients)

    async def _check_timeouts(self) -> None:
        # Close connections that time out, until cancelled.
        while True:
            if not len(self.connections):
                self._has_clients = anyio.Event()
                await self._has_clients.wait()
            now = anyio.current_time()
            for connection in self.connections.timed_out(now):
                if connection.is_open and connection.times_out_at <= now:
                    self._handler.end_timed_out(connection)
            await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)


def _close_listener(listener: socket.socket) -> None:
    if listener.fileno() >= 0:
        anyio.notify_closing(listener)
        listener.close()


async def _wait_for_client(listener: socket.socket) -> bool:
    # Wait until a client connects; return False once the listener is closed.
    try:
        await anyio.wait_readable(listener)
    except (anyio.ClosedResourceError, OSError, ValueError):
        return False
    return True
