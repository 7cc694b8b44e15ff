"""Divides the time of the event loop between the connections of clients and all other work."""

# In each iteration of the event loop, connections have turns until a budget of time is used up. The others
# wait for the next iteration, first come, first served. So deliveries, notifications and the scheduler go on
# however many clients send however fast.

from collections.abc import Callable

from swiftthread.clocks import Clock
from swiftthread.server.client_connection import ClientConnection

# Longest time for turns in one iteration; one turn more may end after it. An event takes some ten iterations
# to its outcome and its notification, which may be 300 ms late.
MAX_TURNS_MS = 5.0


class TurnQueue:
    """Runs the turns of connections, as many in one iteration of the event loop as the budget allows.

    Args:
        take_turn: Runs one turn of a connection.
        call_in_next_iteration: Calls a function in the next iteration of the event loop.
        clock: Monotonic ms.
    """

    def __init__(
        self,
        take_turn: Callable[[ClientConnection], None],
        call_in_next_iteration: Callable[[Callable[[], None]], None],
        clock: Clock,
    ) -> None:
        self._take_turn = take_turn
        self._call_in_next_iteration = call_in_next_iteration
        self._clock = clock
        self._waiting: dict[ClientConnection, None] = {}
        self._spent_ms = 0.0  # in this iteration
        self._is_iteration_scheduled = False

    def run_or_queue(self, connection: ClientConnection) -> None:
        """Run a turn of a connection now, or once those before it have had theirs."""
        if self._waiting or self._spent_ms >= MAX_TURNS_MS:
            self.queue(connection)
            return
        self._run(connection)
        self._schedule_iteration()

    def queue(self, connection: ClientConnection) -> None:
        """Run a turn of a connection in a later iteration."""
        self._waiting[connection] = None
        self._schedule_iteration()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that was closed."""
        self._waiting.pop(connection, None)

    def _schedule_iteration(self) -> None:
        if not self._is_iteration_scheduled:
            self._is_iteration_scheduled = True
            self._call_in_next_iteration(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_iteration_scheduled = False
        self._spent_ms = 0.0
        waiting_count = len(self._waiting)  # those that are queued meanwhile wait for the next iteration
        while waiting_count and self._waiting and self._spent_ms < MAX_TURNS_MS:
            waiting_count -= 1
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            self._run(connection)
        if self._waiting:
            self._schedule_iteration()

    def _run(self, connection: ClientConnection) -> None:
        began_at = self._clock()
        self._take_turn(connection)
        self._spent_ms += self._clock() - began_at
