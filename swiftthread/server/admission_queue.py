"""Queue of connections whose next request stays unread."""

# It stays unread until the node has capacity for it.

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from swiftthread.server.client_connection import ClientConnection

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

    def return_unused(self) -> None:
        """Count a request no longer that turned out to be incomplete or invalid."""


@dataclass(slots=True)
class Admission:
    """The connections that leave the queue in one scheduling cycle."""

    admitted: list[ClientConnection] = field(default_factory=list)
    """Their request may be read."""
    given_up: list[ClientConnection] = field(default_factory=list)
    """Their client has closed; the request is not read."""


class AdmissionQueue:
    """Holds the waiting connections, the longest waiting first."""

    def __init__(self, admission: AdmissionPolicy, request_cycle: Callable[[], None]) -> None:
        # Create an empty queue. `admission` limits how many requests may be read. `request_cycle` requests a
        # scheduling cycle, during which `admit_waiting` is called.
        self._admission = admission
        self._request_cycle = request_cycle
        # When each wait began, in s on the event loop's clock.
        self._waiting_since: dict[ClientConnection, float] = {}

    def __len__(self) -> int:
        return len(self._waiting_since)

    def try_admit(self, connection: ClientConnection) -> bool:
        """Return whether the connection's request may be read now; if not, the connection waits."""
        if connection in self._waiting_since:
            return False
        if not self._waiting_since and self._admission.try_admit():
            return True
        self._waiting_since[connection] = anyio.current_time()
        self._request_cycle()
        return False

    def return_unused(self) -> bool:
        """Count a request no longer that turned out to be incomplete or invalid.

        Returns:
            Whether another connection waits, so that `admit_waiting` may admit it in place of that one.
        """
        self._admission.return_unused()
        return bool(self._waiting_since)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that was closed, if it waits."""
        self._waiting_since.pop(connection, None)

    def admit_waiting(self) -> Admission:
        """Take as many connections out of the queue as may be read in this scheduling cycle."""
        # The longest waiting connection is admitted first. Once its client is about to give up, the newest is
        # admitted first instead: in order of arrival, every request would be read just too late. Connections
        # whose clients have given up are removed unread.
        result = Admission()
        now = anyio.current_time()
        self._remove_given_up(now, result)
        while self._waiting_since and self._admission.try_admit():
            longest_waiting, waiting_since = next(iter(self._waiting_since.items()))
            if now - waiting_since > NEWEST_FIRST_AFTER_S:
                connection, _ = self._waiting_since.popitem()
            else:
                connection = longest_waiting
                del self._waiting_since[connection]
            result.admitted.append(connection)
        return result

    def _remove_given_up(self, now: float, result: Admission) -> None:
        while self._waiting_since:
            connection, waiting_since = next(iter(self._waiting_since.items()))
            if now - waiting_since <= GIVEN_UP_AFTER_S or not connection.peer_has_closed():
                return
            del self._waiting_since[connection]
            result.given_up.append(connection)
