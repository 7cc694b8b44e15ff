"""Turns of connections, divided over the iterations of the event loop by time."""

from itertools import count

from swiftthread.server.turns import MAX_TURNS_MS, TurnQueue


class EventLoop:
    """Iterations of an event loop, and a clock that only turns advance.

    Connections are letters; the next turn of a lower-case one begins a request.
    """

    def __init__(self, turn_ms):
        self.now = 0.0
        self.turn_ms = turn_ms
        self.taken = []
        self.next_iteration = []
        self.turns = TurnQueue(self._take_turn, str.islower, self.next_iteration.append, lambda: self.now)

    def _take_turn(self, connection):
        self.taken.append(connection)
        self.now += self.turn_ms

    def run_iteration(self):
        """Run what was scheduled, and return the connections that had a turn."""
        self.taken = []
        callbacks, self.next_iteration[:] = self.next_iteration[:], []
        for callback in callbacks:
            callback()
        return self.taken


def test_a_connection_has_its_turn_at_once_while_there_is_time():
    loop = EventLoop(MAX_TURNS_MS / 3)
    for connection in "abc":
        assert loop.turns.run_or_queue(connection)
    assert loop.taken == ["a", "b", "c"]
    assert loop.run_iteration() == [] and not loop.next_iteration


def test_connections_beyond_the_budget_have_their_turn_in_the_next_iterations_in_order():
    """Two hundred clients at full speed took 60 ms of each iteration, and notifications came too late."""
    loop = EventLoop(MAX_TURNS_MS / 2)
    for connection in "abcdefg":
        loop.turns.run_or_queue(connection)
    assert loop.taken == ["a", "b"]
    assert [loop.run_iteration() for _ in range(4)] == [["c", "d"], ["e", "f"], ["g"], []]


def test_a_connection_that_always_has_input_does_not_come_before_those_that_wait():
    loop = EventLoop(MAX_TURNS_MS / 2)
    for connection in "abcd":
        loop.turns.queue(connection)
    loop.run_iteration()
    loop.turns.queue("a")
    assert loop.run_iteration() == ["c", "d"] and loop.run_iteration() == ["a"]


def test_a_turn_that_asks_for_another_one_gets_it_in_the_next_iteration():
    loop = EventLoop(0.0)
    numbers = count()
    loop.turns = TurnQueue(
        lambda connection: loop.turns.queue(connection) if next(numbers) < 3 else None,
        str.islower,
        loop.next_iteration.append,
        lambda: loop.now,
    )
    loop.turns.run_or_queue("a")
    for _ in range(3):
        assert loop.next_iteration
        loop.run_iteration()
    assert not loop.next_iteration


def test_a_closed_connection_has_no_turn():
    loop = EventLoop(MAX_TURNS_MS)
    for connection in "abc":
        loop.turns.queue(connection)
    loop.turns.remove("b")
    assert loop.run_iteration() + loop.run_iteration() == ["a", "c"]


def test_turns_that_begin_a_request_come_first_and_leave_time_for_others():
    """New clients waited behind hundreds that sent large bodies, for longer than clients wait."""
    loop = EventLoop(MAX_TURNS_MS / 5)
    for connection in "ABCDabcdef":
        loop.turns.queue(connection)
    assert loop.run_iteration() == ["a", "b", "c", "d", "A"]
    assert loop.run_iteration() == ["e", "f", "B", "C", "D"]
    for connection in "ABCa":
        loop.turns.queue(connection)
    assert loop.run_iteration() == ["a", "A", "B", "C"]
