"""Divides the time of the event loop between the connections of clients and all other work."""

# In each iteration of the event loop, connections have turns until a budget of time is used up. The others
# wait for the next iteration, first come, first served. So deliveries, notifications and the scheduler go on
# however many clients send however fast. Turns that begin a request come first, because most requests are
# complete with them; those that continue one have a part of the budget that is theirs.

from collections.abc import Callable

from swiftthread.clocks import Clock
from swiftthread.server.client_connection import ClientConnection

# Longest time for turns in one iteration; one turn more may end after it. An event takes some ten iterations
# to its outcome and its notification, which may be 300 ms late. With the clients that are accepted it stays
# below the delay of a scheduling cycle that counts as overload.
MAX_TURNS_MS = 2.5
# The part of it that turns which begin a request may use while others wait.
MAX_BEGINNING_MS = 1.75


class TurnQueue:
    """Runs the turns of connections, as many in one iteration of the event loop as the budget allows.

    Args:
        take_turn: Runs one turn of a connection.
        begins_request: Returns whether the next turn of a connection begins a request.
        call_in_next_iteration: Calls a function in the next iteration of the event loop.
        clock: Monotonic ms.
    """

    def __init__(
        self,
        take_turn: Callable[[ClientConnection], None],
        begins_request: Callable[[ClientConnection], bool],
        call_in_next_iteration: Callable[[Callable[[], None]], None],
        clock: Clock,
    ) -> None:
        self._take_turn = take_turn
        self._begins_request = begins_request
        self._call_in_next_iteration = call_in_next_iteration
        self._clock = clock
        self._beginning: dict[ClientConnection, None] = {}
        self._continuing: dict[ClientConnection, None] = {}
        self._spent_ms = 0.0  # in this iteration
        self._is_iteration_scheduled = False

    def run_or_queue(self, connection: ClientConnection) -> bool:
        """Run a turn of a connection now, or once those before it have had theirs.

        Returns:
            Whether it was run now.
        """
        if self._beginning or self._continuing or self._spent_ms >= MAX_TURNS_MS:
            self.queue(connection)
            return False
        self._run(connection)
        self._schedule_iteration()
        return True

    def queue(self, connection: ClientConnection) -> None:
        """Run a turn of a connection in a later iteration."""
        if connection not in self._beginning and connection not in self._continuing:
            queue = self._beginning if self._begins_request(connection) else self._continuing
            queue[connection] = None
        self._schedule_iteration()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that was closed."""
        self._beginning.pop(connection, None)
        self._continuing.pop(connection, None)

    def _schedule_iteration(self) -> None:
        if not self._is_iteration_scheduled:
            self._is_iteration_scheduled = True
            self._call_in_next_iteration(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_iteration_scheduled = False
        self._spent_ms = 0.0
        # Those that are queued meanwhile wait for the next iteration.
        beginning, self._beginning = self._beginning, {}
        continuing, self._continuing = self._continuing, {}
        self._run_all(beginning, MAX_BEGINNING_MS if continuing else MAX_TURNS_MS)
        self._run_all(continuing, MAX_TURNS_MS)
        self._run_all(beginning, MAX_TURNS_MS)
        self._beginning = beginning | self._beginning
        self._continuing = continuing | self._continuing
        if self._beginning or self._continuing:
            self._schedule_iteration()

    def _run_all(self, queue: dict[ClientConnection, None], until_ms: float) -> None:
        # Run the turns of a queue until the time spent in this iteration reaches `until_ms`.
        while queue and self._spent_ms < until_ms:
            connection = next(iter(queue))
            del queue[connection]
            self._run(connection)

    def _run(self, connection: ClientConnection) -> None:
        began_at = self._clock()
        self._take_turn(connection)
        self._spent_ms += self._clock() - began_at
