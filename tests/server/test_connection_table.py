"""Which connection is evicted to free capacity for the next, and when."""

import anyio
import pytest

from swiftthread.network.tcp_connection import ConnectionClosed
from swiftthread.server.connection_table import ConnectionState, ConnectionTable


class FakeConnection:
    """A connection that records how it was closed."""

    def __init__(self):
        self.has_unread_bytes = False
        self.is_closed = False
        self.is_shut_down = False

    def has_nothing_to_read(self):
        return not self.has_unread_bytes

    def close(self):
        self.is_closed = True

    def shutdown_write(self):
        self.is_shut_down = True


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(anyio, "current_time", clock)
    return clock


@pytest.fixture
def table(clock):
    return ConnectionTable()


def connection_in(table, state):
    connection = FakeConnection()
    table.add(connection)
    if state is not ConnectionState.NEW:
        table.set_state(connection, state)
    return connection


def test_connections_are_evicted_in_the_order_of_their_states(clock, table):
    by_state = {state: connection_in(table, state) for state in reversed(ConnectionState)}
    clock.now += 1.0
    evicted = []
    for _ in ConnectionState:
        assert table.evict_one()
        state = next(
            state
            for state, connection in by_state.items()
            if state not in evicted and (connection.is_closed or connection.is_shut_down)
        )
        evicted.append(state)
        table.close(by_state[state])
    assert evicted == [
        ConnectionState.CLOSING,
        ConnectionState.NEW,
        ConnectionState.IN_REQUEST,
        ConnectionState.IDLE_WITHOUT_EVENT,
        ConnectionState.IDLE_CLIENT,
    ]
    assert not table.evict_one() and not len(table)


@pytest.mark.parametrize(
    "state, grace_s",
    [
        (ConnectionState.CLOSING, 0.0),
        (ConnectionState.NEW, 0.25),
        (ConnectionState.IN_REQUEST, 0.45),
        (ConnectionState.IDLE_WITHOUT_EVENT, 0.0),
        (ConnectionState.IDLE_CLIENT, 0.0),
    ],
)
def test_a_connection_is_not_evicted_during_the_grace_period_of_its_state(clock, table, state, grace_s):
    connection_in(table, state)
    if grace_s:
        clock.now += grace_s - 0.01
        assert not table.evict_one()
        clock.now += 0.02
    assert table.evict_one()


def test_the_connection_longest_in_its_state_is_evicted_first(clock, table):
    first = connection_in(table, ConnectionState.IDLE_CLIENT)
    second = connection_in(table, ConnectionState.IDLE_CLIENT)
    clock.now += 1.0
    table.set_state(first, ConnectionState.IN_REQUEST)
    table.set_state(first, ConnectionState.IDLE_CLIENT)
    assert table.evict_one()
    assert second.is_shut_down and not first.is_shut_down


def test_idle_clients_are_not_evicted_while_a_new_connection_is_within_its_grace_period(clock, table):
    client = connection_in(table, ConnectionState.IDLE_CLIENT)
    new = connection_in(table, ConnectionState.NEW)
    clock.now += 0.2
    assert not table.evict_one()
    clock.now += 0.1
    assert table.evict_one()
    assert new.is_shut_down and not client.is_shut_down


def test_an_idle_connection_with_unread_bytes_is_not_evicted(table):
    with_input = connection_in(table, ConnectionState.IDLE_CLIENT)
    with_input.has_unread_bytes = True
    without_input = connection_in(table, ConnectionState.IDLE_CLIENT)
    assert table.has_unread_request()
    assert table.evict_one()
    assert without_input.is_shut_down and not with_input.is_shut_down


def test_begin_close_of_inactive_closes_all_but_busy_and_recently_accepted_connections(clock, table):
    old = connection_in(table, ConnectionState.NEW)
    idle = connection_in(table, ConnectionState.IDLE_CLIENT)
    in_request = connection_in(table, ConnectionState.IN_REQUEST)
    clock.now += 1.0
    new = connection_in(table, ConnectionState.NEW)
    table.begin_close_of_inactive(clock.now - 0.5)
    assert [old.is_shut_down, idle.is_shut_down, in_request.is_shut_down, new.is_shut_down] == [
        True,
        True,
        False,
        False,
    ]


def test_setting_the_state_of_a_closed_connection_raises_connection_closed(table):
    connection = connection_in(table, ConnectionState.IN_REQUEST)
    table.close(connection)
    assert connection.is_closed and table.state_of(connection) is None
    with pytest.raises(ConnectionClosed):
        table.set_state(connection, ConnectionState.IDLE_CLIENT)
