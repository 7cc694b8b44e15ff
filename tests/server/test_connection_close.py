"""Closes of client connections, and what crosses them.

Each test makes the bad order happen: bytes are written between two steps of the server.
"""

import fcntl
import socket
import struct
import termios

import anyio
import pytest

from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection
from swiftthread.network.listener import open_listener
from swiftthread.server.connection_table import ConnectionState
from swiftthread.server.http_server import HttpServer
from swiftthread.server.messages import AdmissionResult
from swiftthread.service.admission import AdmissionController
from swiftthread.service.limits import Limits

REQUEST = (
    b"POST /once HTTP/1.1\r\nHost: n\r\nX-Txn: %s\r\nX-Lane: once\r\n"
    b"X-Remaining: 4000m\r\nX-Route-To: dest=1\r\n"
    b"Content-Length: %d\r\n\r\n"
)
TIMEOUT_S = 5.0


def unread_bytes(sock):
    return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0]


class InProcessServer:
    """A server of this process, and clients of it. `admitted`: the ids of the events that it admitted."""

    def __init__(self, tasks, idle_timeout_ms=60000.0):
        self.admitted = []
        self.tasks = tasks
        self.listener = open_listener(("127.0.0.1", 0), 64)
        self.server = HttpServer(
            admit=self.admit,
            stream_types={"once": 0},
            buffers=BufferPool(),
            limits=Limits({"sockets": 256}, 8, 5000.0, 500.0),
            log_clock=lambda: 0.0,
            first_request_timeout_ms=60000.0,
            request_timeout_ms=60000.0,
            idle_timeout_ms=idle_timeout_ms,
            admission=AdmissionController(5.0),
            request_cycle=lambda: None,
        )
        tasks.start_soon(self.server.serve, self.listener, tasks)

    def admit(self, pending):
        self.admitted.append(pending.event_id)
        return AdmissionResult(202)

    async def idle_client(self):
        """A client that has submitted "first" and is idle."""
        client = socket.create_connection(self.listener.getsockname())
        client.sendall(REQUEST % (b"first", 0))
        assert (await received_by(client)).startswith(b"HTTP/1.1 202")
        await eventually(lambda: self.server.connections.count(ConnectionState.IDLE_CLIENT))
        return client

    async def all_closed(self):
        await eventually(lambda: not len(self.server.connections))


async def eventually(condition):
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.001)


async def received_by(client):
    """The next bytes that a client gets; b"" is an orderly end, and a reset an error."""
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


def send_after_idle_check(monkeypatch, client):
    """A request of the client's arrives right after its connection was found to be untouched."""
    has_nothing_to_read = Connection.has_nothing_to_read

    def check_and_send(connection):
        was_untouched = has_nothing_to_read(connection)
        if was_untouched and connection.socket.getpeername() == client.getsockname():
            client.sendall(REQUEST % (b"crossed", 0))
            while not unread_bytes(connection.socket):
                pass
        return was_untouched

    monkeypatch.setattr(Connection, "has_nothing_to_read", check_and_send)


@pytest.mark.parametrize("cause", ["shutdown", "eviction", "idle time", "end of shutdown"])
def test_a_request_that_crosses_the_close_of_its_connection_is_not_admitted_and_meets_no_reset(
    monkeypatch, cause
):
    async def test(in_process):
        client = await in_process.idle_client()
        send_after_idle_check(monkeypatch, client)
        if cause == "shutdown":
            in_process.server.begin_shutdown()
        elif cause == "eviction":
            assert in_process.server.connections.evict_one()
        elif cause == "end of shutdown":
            await in_process.server.finish_shutdown(in_process.listener, in_process.tasks)
        assert await received_by(client) == b"" and client.recv(9) == b""
        client.close()
        await in_process.all_closed()
        assert in_process.admitted == ["first"]

    run_with_server(test, idle_timeout_ms=100.0 if cause == "idle time" else 60000.0)


def test_a_client_that_never_closes_is_closed_in_time():
    async def test(in_process):
        client = await in_process.idle_client()
        in_process.server.begin_shutdown()
        assert await received_by(client) == b""
        ((connection, _),) = in_process.server.connections.in_state(ConnectionState.CLOSING)
        await in_process.all_closed()
        assert connection.socket.fileno() < 0
        client.close()

    run_with_server(test)


def test_a_closing_answer_is_not_overtaken_by_a_reset_for_what_came_behind_its_request():
    async def test(in_process):
        client = socket.create_connection(in_process.listener.getsockname())
        in_process.server.is_shutting_down = True
        client.sendall(REQUEST % (b"first", 0) + REQUEST % (b"behind", 60000) + bytes(60000))
        assert b"Connection: close" in await received_by(client)
        assert await received_by(client) == b"" and in_process.admitted == ["first"]
        client.close()
        await in_process.all_closed()

    run_with_server(test)


def test_capacity_is_freed_at_once_though_no_client_closes_its_side():
    async def test(in_process):
        in_process.server.limits.max_clients = 4
        clients = [await in_process.idle_client() for _ in range(12)]
        assert len(in_process.server.connections) <= 4 and len(in_process.admitted) == 12
        for client in clients:
            client.close()

    run_with_server(test)
