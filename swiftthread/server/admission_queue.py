"""Queue of connections whose next request stays unread."""

# It stays unread until the node has capacity for it.

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from swiftthread.network.connection import Connection, ConnectionClosed

# Both times apply to the longest waiting connection. A client waits 0.4 s for its response, including the
# time that it takes to connect.
#
# Waiting time above which the newest connection is admitted first: in order of arrival, each request would
# then be read just too late.
NEWEST_FIRST_AFTER_S = 0.15
# Waiting time above which a client that has closed its connection counts as having given up.
GIVEN_UP_AFTER_S = 0.35


class AdmissionPolicy(Protocol):
    """Limits how many requests may be read."""

    def try_admit(self) -> bool:
        """Return whether one more request may be read now, and count it if so."""


@dataclass(slots=True, eq=False)
class WaitingConnection:
    """A connection whose request waits to be read."""

    connection: Connection
    waiting_since: float = field(default_factory=anyio.current_time)
    """When the wait began, in s on the event loop's clock."""
    wait_finished: anyio.Event = field(default_factory=anyio.Event)
    client_gave_up: bool = False
    """Whether the client has closed the connection; its request is then not read."""


class AdmissionQueue:
    """Holds the waiting connections, the longest waiting first."""

    def __init__(self, admission: AdmissionPolicy, request_cycle: Callable[[], None]) -> None:
        # Create an empty queue. `admission` limits how many requests may be read. `request_cycle` requests a
        # scheduling cycle, during which `admit_waiting` is called.
        self._admission = admission
        self._request_cycle = request_cycle
        self._waiting: deque[WaitingConnection] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, connection: Connection) -> None:
        """Wait until the connection's request may be read.

        Raises:
            ConnectionClosed: The client gave up.
        """
        if not self._waiting and self._admission.try_admit():
            return
        waiting = WaitingConnection(connection)
        self._waiting.append(waiting)
        self._request_cycle()
        try:
            await waiting.wait_finished.wait()
        finally:
            if not waiting.wait_finished.is_set():
                self._waiting.remove(waiting)
        if waiting.client_gave_up:
            raise ConnectionClosed(request_was_written=True)

    def admit_waiting(self) -> None:
        """Admit as many waiting connections as may be read in this scheduling cycle."""
        # The longest waiting connection is admitted first. Once its client is about to give up, the newest is
        # admitted first instead: in order of arrival, every request would be read just too late. Connections
        # whose clients have given up are removed unread.
        now = anyio.current_time()
        self._remove_given_up(now)
        while self._waiting and self._admission.try_admit():
            is_newest_first = now - self._waiting[0].waiting_since > NEWEST_FIRST_AFTER_S
            waiting = self._waiting.pop() if is_newest_first else self._waiting.popleft()
            waiting.wait_finished.set()

    def _remove_given_up(self, now: float) -> None:
        while (
            self._waiting
            and now - self._waiting[0].waiting_since > GIVEN_UP_AFTER_S
            and self._waiting[0].connection.peer_has_closed()
        ):
            waiting = self._waiting.popleft()
            waiting.client_gave_up = True
            waiting.wait_finished.set()
