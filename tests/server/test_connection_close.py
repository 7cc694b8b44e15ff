"""Closing of client connections while requests arrive on them.

Each test forces the unfavourable order: a client's bytes arrive between two steps of the server.
"""

import fcntl
import socket
import struct
import termios

import anyio
import pytest

from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import BYTES_PER_MIB, MemoryAccount
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.listener import open_listener
from swiftthread.server.client_connection import ClientConnection
from swiftthread.server.connection_handler import IN_REQUEST, ConnectionHandler
from swiftthread.server.connection_table import ConnectionState
from swiftthread.server.http_server import STALLED_AFTER_MS, HttpServer
from swiftthread.server.messages import AdmissionResult
from swiftthread.service.admission import AdmissionController
from swiftthread.service.limits import Limits

REQUEST = (
    b"POST /once HTTP/1.1\r\nHost: n\r\nX-Txn: %s\r\nX-Lane: once\r\n"
    b"X-Remaining: 4000m\r\nX-Route-To: dest=1\r\n"
    b"Content-Length: %d\r\n\r\n"
)
TIMEOUT_S = 5.0


def unread_byte_count(sock):
    return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0]


class InProcessServer:
    """An HTTP server in the test process, and its clients.

    Attributes:
        admitted_ids: Ids of the events that the server admitted, in order.
    """

    def __init__(self, tasks, idle_timeout_ms=60000.0):
        self.admitted_ids = []
        self.tasks = tasks
        self.admission = AdmissionController(5.0)
        self.listener = open_listener(("127.0.0.1", 0), 64)
        limits = Limits({"sockets": 256}, 8, 500.0)
        handler = ConnectionHandler(
            admit=self.admit,
            stream_types={"once": 0},
            limits=limits,
            hold_ups=HoldUps(),
            log_clock=lambda: 0.0,
            first_request_timeout_ms=60000.0,
            request_timeout_ms=60000.0,
            idle_timeout_ms=idle_timeout_ms,
            admission=self.admission,
            request_cycle=lambda: None,
        )
        memory = MemoryAccount(64 * BYTES_PER_MIB, 0)
        self.server = HttpServer(handler, BufferPool(), limits, memory, request_cycle=lambda: None)
        tasks.start_soon(self.server.serve, self.listener, tasks)

    def admit(self, pending, submitter):
        self.admitted_ids.append(pending.event_id)
        return AdmissionResult(202)

    async def open_idle_client(self):
        """Connect a client, let it submit the event "first", and return it once its connection is idle."""
        client = socket.create_connection(self.listener.getsockname())
        client.sendall(REQUEST % (b"first", 0))
        assert (await receive(client)).startswith(b"HTTP/1.1 202")
        await wait_until(lambda: self.server.connections.count(ConnectionState.IDLE_CLIENT))
        return client

    async def wait_until_all_closed(self):
        await wait_until(lambda: not len(self.server.connections))


async def wait_until(condition):
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.001)


async def receive(client):
    """Return the next bytes that a client receives: b"" after an orderly close. A reset raises an error."""
    client.setblocking(False)
    with anyio.fail_after(TIMEOUT_S):
        await anyio.wait_readable(client)
    return client.recv(4096)


def run_with_server(test, **options):
    async def run():
        async with anyio.create_task_group() as tasks:
            in_process = InProcessServer(tasks, **options)
            try:
                await test(in_process)
            finally:
                in_process.listener.close()
                tasks.cancel_scope.cancel()

    anyio.run(run)


def send_after_input_check(monkeypatch, client):
    """Let a request of the client arrive right after the server found nothing to read on its connection."""
    has_nothing_to_read = ClientConnection.has_nothing_to_read

    def check_and_send(connection):
        had_nothing_to_read = has_nothing_to_read(connection)
        if had_nothing_to_read and connection.socket.getpeername() == client.getsockname():
            client.sendall(REQUEST % (b"crossed", 0))
            while not unread_byte_count(connection.socket):
                pass
        return had_nothing_to_read

    monkeypatch.setattr(ClientConnection, "has_nothing_to_read", check_and_send)


@pytest.mark.parametrize("cause", ["shutdown", "eviction", "idle timeout", "end of shutdown"])
def test_a_request_that_arrives_while_its_connection_is_being_closed_is_not_admitted_and_not_reset(
    monkeypatch, cause
):
    async def test(in_process):
        client = await in_process.open_idle_client()
        send_after_input_check(monkeypatch, client)
        if cause == "shutdown":
            in_process.server.begin_shutdown()
        elif cause == "eviction":
            assert in_process.server.connections.evict_one()
        elif cause == "end of shutdown":
            await in_process.server.finish_shutdown(in_process.listener)
        assert await receive(client) == b"" and client.recv(9) == b""
        client.close()
        await in_process.wait_until_all_closed()
        assert in_process.admitted_ids == ["first"]

    run_with_server(test, idle_timeout_ms=100.0 if cause == "idle timeout" else 60000.0)


def test_a_connection_is_closed_after_the_timeout_if_its_client_does_not_close():
    async def test(in_process):
        client = await in_process.open_idle_client()
        in_process.server.begin_shutdown()
        assert await receive(client) == b""
        ((connection, _),) = in_process.server.connections.in_state(ConnectionState.CLOSING)
        await in_process.wait_until_all_closed()
        assert connection.socket.fileno() < 0
        client.close()

    run_with_server(test)


def test_a_closing_response_is_not_lost_to_a_reset_when_more_bytes_follow_the_request():
    async def test(in_process):
        client = socket.create_connection(in_process.listener.getsockname())
        in_process.server._handler.is_shutting_down = True
        client.sendall(REQUEST % (b"first", 0) + REQUEST % (b"behind", 60000) + bytes(60000))
        assert b"Connection: close" in await receive(client)
        assert await receive(client) == b"" and in_process.admitted_ids == ["first"]
        client.close()
        await in_process.wait_until_all_closed()

    run_with_server(test)


def test_idle_connections_are_evicted_at_once_even_if_no_client_closes():
    async def test(in_process):
        in_process.server.limits.max_clients = 4
        clients = [await in_process.open_idle_client() for _ in range(12)]
        assert len(in_process.server.connections) <= 4 and len(in_process.admitted_ids) == 12
        for client in clients:
            client.close()

    run_with_server(test)


def test_a_request_that_stops_half_way_is_evicted_for_a_new_client_but_not_one_that_goes_on():
    """Hundreds of such clients kept new ones waiting for longer than these wait for a response."""

    async def test(in_process):
        in_process.server.limits.max_clients = 2
        stalled, ongoing = (socket.create_connection(in_process.listener.getsockname()) for _ in range(2))
        for client in (stalled, ongoing):
            client.sendall((REQUEST % (b"slow", 9))[:-2])
        await wait_until(lambda: in_process.server.connections.count(ConnectionState.IN_REQUEST) == 2)
        connections = [connection for connection, _ in in_process.server.connections.in_state(IN_REQUEST)]
        connections[0].last_read_at -= STALLED_AFTER_MS + 1.0
        connections[1].last_read_at += 60_000.0
        new = socket.create_connection(in_process.listener.getsockname())
        new.sendall(REQUEST % (b"new", 0))
        assert (await receive(new)).startswith(b"HTTP/1.1 202")
        assert await receive(stalled) == b""
        assert connections[1].is_open and in_process.admitted_ids == ["new"]
        for client in (stalled, ongoing, new):
            client.close()
        await in_process.wait_until_all_closed()

    run_with_server(test)


def test_once_all_waiting_clients_are_accepted_a_shutdown_refuses_new_ones():
    """Their connects succeeded, and the end of the shutdown reset them with their request unread."""

    async def test(in_process):
        idle = await in_process.open_idle_client()  # it does not close, so the shutdown waits for it
        address = in_process.listener.getsockname()
        in_process.tasks.start_soon(in_process.server.finish_shutdown, in_process.listener)
        await wait_until(lambda: in_process.server.connections.count(ConnectionState.CLOSING))
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        await in_process.wait_until_all_closed()
        idle.close()

    run_with_server(test)
