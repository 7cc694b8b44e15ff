"""Which idle connections the pool reuses, retains and closes."""

import pytest

from swiftthread.network.connection_pool import ConnectionPool, PoolKey

FIRST = PoolKey("s-1", ("10.0.0.1", 9000))
SECOND = PoolKey("s-2", ("10.0.0.2", 9000))
MAX_IDLE_MS = 1000.0
MAX_CONNECTIONS = 3


class FakeConnection:
    def __init__(self):
        self.idle_since = None
        self.is_closed = False
        self.has_unread_input = False

    def has_nothing_to_read(self):
        return not self.has_unread_input

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
    return ConnectionPool(clock, MAX_IDLE_MS, MAX_CONNECTIONS)


def release_new_connection(pool, clock, key):
    connection = FakeConnection()
    clock.now += 1.0
    pool.release(key, connection)
    return connection


def test_the_most_recently_used_connection_of_the_key_is_acquired(pool, clock):
    release_new_connection(pool, clock, FIRST)
    newest = release_new_connection(pool, clock, FIRST)
    release_new_connection(pool, clock, SECOND)
    assert pool.acquire(FIRST) is newest
    assert pool.count == 2


def test_a_connection_with_unread_input_is_closed_and_the_next_one_is_acquired(pool, clock):
    usable = release_new_connection(pool, clock, FIRST)
    closed_by_peer = release_new_connection(pool, clock, FIRST)
    closed_by_peer.has_unread_input = True
    assert pool.acquire(FIRST) is usable and closed_by_peer.is_closed
    assert pool.acquire(FIRST) is None and not pool.idle


def test_above_the_connection_limit_the_longest_idle_connection_is_closed(pool, clock):
    connections = [release_new_connection(pool, clock, key) for key in (SECOND, FIRST, FIRST, FIRST)]
    assert [connection.is_closed for connection in connections] == [True, False, False, False]
    assert pool.count == MAX_CONNECTIONS and SECOND not in pool.idle


def test_a_connection_is_closed_once_it_reaches_the_maximum_idle_time(pool, clock):
    old = release_new_connection(pool, clock, FIRST)
    clock.now += MAX_IDLE_MS - 1.0
    new = release_new_connection(pool, clock, FIRST)
    assert old.is_closed and not new.is_closed
    assert pool.acquire(FIRST) is new


def test_close_idle_closes_the_connections_of_one_key_and_close_all_the_rest(pool, clock):
    first, second = release_new_connection(pool, clock, FIRST), release_new_connection(pool, clock, SECOND)
    pool.close_idle(FIRST)
    assert first.is_closed and not second.is_closed
    pool.close_all()
    assert second.is_closed and not pool.idle and not pool.count
