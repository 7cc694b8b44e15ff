"""Which idle connections the pool reuses, retains and closes."""

import pytest

from swiftthread.network.connection import UnreadInput
from swiftthread.network.connection_observer import CloseReason
from swiftthread.network.connection_pool import ConnectionPool, PoolKey

FIRST = PoolKey("s-1", ("10.0.0.1", 9000))
SECOND = PoolKey("s-2", ("10.0.0.2", 9000))
MAX_IDLE_MS = 1000.0
MIN_IDLE_MS = 300.0
MAX_CONNECTIONS = 3


class FakeConnection:
    def __init__(self):
        self.idle_since = None
        self.is_closed = False
        self.input = UnreadInput.NOTHING

    def unread_input(self):
        return self.input

    def close(self):
        self.is_closed = True


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def pool(clock):
    pool = ConnectionPool(clock, MAX_IDLE_MS, MAX_CONNECTIONS)
    pool.closed = []
    pool.on_closed = lambda key, connection, reason: pool.closed.append((key, reason))
    return pool


def release_new_connection(pool, clock, key):
    connection = FakeConnection()
    clock.now += 1.0
    pool.release(key, connection)
    return connection


def test_the_longest_idle_connection_of_the_key_is_acquired_once_it_has_rested(pool, clock):
    oldest = release_new_connection(pool, clock, FIRST)
    release_new_connection(pool, clock, FIRST)
    release_new_connection(pool, clock, SECOND)
    clock.now = oldest.idle_since + MIN_IDLE_MS - 0.1
    assert pool.acquire(FIRST, MIN_IDLE_MS) is None
    clock.now = oldest.idle_since + MIN_IDLE_MS
    assert pool.acquire(FIRST, MIN_IDLE_MS) is oldest
    assert pool.acquire(FIRST, MIN_IDLE_MS) is None
    assert pool.count == 2 and not pool.closed


@pytest.mark.parametrize(
    "unread_input, reason",
    [
        (UnreadInput.END, CloseReason.CLOSED_BY_ENDPOINT),
        (UnreadInput.OTHER_BYTES, CloseReason.UNSOLICITED_BYTES),
    ],
)
def test_a_connection_with_unread_input_is_closed_and_the_next_one_is_acquired(
    pool, clock, unread_input, reason
):
    closed_by_peer = release_new_connection(pool, clock, FIRST)
    usable = release_new_connection(pool, clock, FIRST)
    closed_by_peer.input = unread_input
    assert pool.acquire(FIRST) is usable and closed_by_peer.is_closed
    assert pool.acquire(FIRST) is None and not pool.idle
    assert pool.closed == [(FIRST, reason)]


def test_no_connection_is_acquired_right_after_an_unsolicited_response_on_another(pool, clock):
    connection = release_new_connection(pool, clock, FIRST)
    release_new_connection(pool, clock, FIRST)
    connection.input = UnreadInput.RESPONSE
    assert pool.acquire(FIRST) is None and connection.is_closed
    assert pool.closed == [(FIRST, CloseReason.UNSOLICITED_RESPONSE)] and pool.idle_count(FIRST) == 1


def test_above_the_connection_limit_the_newest_connection_of_the_key_with_most_is_closed(pool, clock):
    """The newest one is usable last: if older ones were closed, none would ever have rested long enough."""
    connections = [release_new_connection(pool, clock, key) for key in (SECOND, FIRST, FIRST, FIRST)]
    assert [connection.is_closed for connection in connections] == [False, False, False, True]
    assert pool.count == MAX_CONNECTIONS and SECOND in pool.idle
    assert pool.closed == [(FIRST, CloseReason.TOO_MANY)]


def test_a_connection_is_closed_once_it_reaches_the_maximum_idle_time(pool, clock):
    old = release_new_connection(pool, clock, FIRST)
    old.input = UnreadInput.RESPONSE
    clock.now += MAX_IDLE_MS - 1.0
    new = release_new_connection(pool, clock, FIRST)
    assert old.is_closed and not new.is_closed
    assert pool.closed == [(FIRST, CloseReason.UNSOLICITED_RESPONSE)]
    assert pool.acquire(FIRST) is new


def test_close_idle_closes_the_connections_of_one_key_and_close_all_the_rest(pool, clock):
    first, second = release_new_connection(pool, clock, FIRST), release_new_connection(pool, clock, SECOND)
    pool.close_idle(FIRST)
    assert first.is_closed and not second.is_closed
    pool.close_all()
    assert second.is_closed and not pool.idle and not pool.count
