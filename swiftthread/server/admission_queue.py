"""Connections whose next request waits, unread, until the node has capacity for it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from swiftthread.network.connection import Connection, ConnectionClosed

# Waits of the longest waiting connection. A client waits 0.4 s for its answer, its connect counted in.
NEWEST_FIRST_AFTER_S = 0.15  # the oldest would each be read just too late from here on
ABANDONED_AFTER_S = 0.35  # a client that has closed by now has given up


class Admission(Protocol):
    """Bounds how many requests may be read."""

    def try_admit(self) -> bool:
        """Whether one more request may be read now; if so it is counted."""


@dataclass(slots=True, eq=False)
class WaitingConnection:
    """A connection whose request waits to be read."""

    connection: Connection
    since: float = field(default_factory=anyio.current_time)
    """When the wait began, s on the loop's clock."""
    wait_is_over: anyio.Event = field(default_factory=anyio.Event)
    is_abandoned: bool = False
    """The client has given up; its request is not read."""


class AdmissionQueue:
    """Owner of the waiting connections, the longest waiting first."""

    def __init__(self, admission: Admission, request_cycle: Callable[[], None]) -> None:
        """Create an empty queue.

        Args:
            admission: Bounds how many requests may be read.
            request_cycle: Asks the scheduler for a scheduling cycle, in which `admit_waiting` is called.
        """
        self._admission = admission
        self._request_cycle = request_cycle
        self._waiting: deque[WaitingConnection] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, connection: Connection) -> None:
        """Wait until the connection's request may be read.

        Raises:
            ConnectionClosed: the client gave up.
        """
        if not self._waiting and self._admission.try_admit():
            return
        waiting = WaitingConnection(connection)
        self._waiting.append(waiting)
        self._request_cycle()
        try:
            await waiting.wait_is_over.wait()
        finally:
            if not waiting.wait_is_over.is_set():
                self._waiting.remove(waiting)
        if waiting.is_abandoned:
            raise ConnectionClosed(request_was_written=True)

    def admit_waiting(self) -> None:
        """Admit as many as may be read in this scheduling cycle.

        The longest waiting go first, but once that one's client is about to give up, the newest do: else each
        would be read just too late. Clients that gave up go without being read.
        """
        now = anyio.current_time()
        self._drop_abandoned(now)
        while self._waiting and self._admission.try_admit():
            is_newest_first = now - self._waiting[0].since > NEWEST_FIRST_AFTER_S
            waiting = self._waiting.pop() if is_newest_first else self._waiting.popleft()
            waiting.wait_is_over.set()

    def _drop_abandoned(self, now: float) -> None:
        while (
            self._waiting
            and now - self._waiting[0].since > ABANDONED_AFTER_S
            and self._waiting[0].connection.peer_has_closed()
        ):
            waiting = self._waiting.popleft()
            waiting.is_abandoned = True
            waiting.wait_is_over.set()
