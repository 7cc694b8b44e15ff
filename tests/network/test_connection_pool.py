"""Which idle connections are used, kept and closed."""

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
        self.has_ended = False

    def has_nothing_to_read(self):
        return not self.has_ended

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


def released(pool, clock, key):
    connection = FakeConnection()
    clock.now += 1.0
    pool.release(key, connection)
    return connection


def test_the_most_recently_used_connection_of_the_key_is_acquired(pool, clock):
    released(pool, clock, FIRST)
    newest = released(pool, clock, FIRST)
    released(pool, clock, SECOND)
    assert pool.acquire(FIRST) is newest
    assert pool.count == 2


def test_a_connection_with_an_end_or_stray_bytes_is_closed_and_passed_over(pool, clock):
    good = released(pool, clock, FIRST)
    ended = released(pool, clock, FIRST)
    ended.has_ended = True
    assert pool.acquire(FIRST) is good and ended.is_closed
    assert pool.acquire(FIRST) is None and not pool.idle


def test_beyond_the_bound_the_longest_idle_connection_is_closed(pool, clock):
    connections = [released(pool, clock, key) for key in (SECOND, FIRST, FIRST, FIRST)]
    assert [connection.is_closed for connection in connections] == [True, False, False, False]
    assert pool.count == MAX_CONNECTIONS and SECOND not in pool.idle


def test_a_connection_is_closed_once_it_has_idled_its_time(pool, clock):
    old = released(pool, clock, FIRST)
    clock.now += MAX_IDLE_MS - 1.0
    new = released(pool, clock, FIRST)
    assert old.is_closed and not new.is_closed
    assert pool.acquire(FIRST) is new


def test_idle_connections_of_one_key_or_of_all_are_closed(pool, clock):
    first, second = released(pool, clock, FIRST), released(pool, clock, SECOND)
    pool.close_idle(FIRST)
    assert first.is_closed and not second.is_closed
    pool.close_all()
    assert second.is_closed and not pool.idle and not pool.count
