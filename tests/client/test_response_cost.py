"""A peer that answers a request cannot make the node hold much for its response, or work on it for long."""

import contextlib
import socket
import threading

import anyio
import h11
import pytest

from swiftthread.client.http_exchange import (
    MAX_PARTS_PER_TURN,
    HttpRequest,
    HttpResponse,
    ResponseResources,
    client_parser,
    exchange,
)
from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import connect
from swiftthread.network.tcp_connection import ConnectionClosed

TEST_TIMEOUT_S = 5.0
CHUNKED_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n"
# What an endpoint may send again and again, by name.
ENDLESS_RESPONSES = {
    "one-byte chunks": (CHUNKED_HEAD, b"1\r\nx\r\n" * 3000),
    "extensions": (CHUNKED_HEAD, (b"1;" + b"e" * 8000 + b"\r\nx\r\n") * 3),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"a: b\r\n" * 3000),
    "fields": (b"HTTP/1.1 500 Internal Server Error\r\n", b"a:\r\n" * 3000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "empty lines": (b"", b"\r\n" * 3000),
    "body": (CHUNKED_HEAD, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
}


class EndlessServer:
    """A server that sends a beginning to each connection, and then the same bytes until it is closed."""

    def __init__(self, beginning, repeated):
        self._beginning = beginning
        self._repeated = repeated
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self.listener.accept()
                with contextlib.suppress(OSError):
                    conn.sendall(self._beginning)
                    while True:
                        conn.sendall(self._repeated)


async def read_response(server, response):
    connection = await connect(server.listener.getsockname(), BufferPool(), client_parser())
    try:
        with anyio.fail_after(TEST_TIMEOUT_S) as scope:
            await exchange(connection, HttpRequest("GET", "/", [("Host", "n")]), response, scope)
    finally:
        connection.close()


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_an_endless_response_ends_early_and_lets_other_tasks_run(monkeypatch, name):
    """It stopped the whole node for over a second."""
    server = EndlessServer(*ENDLESS_RESPONSES[name])
    part_count = 0
    parts_at_once = 0  # since the other task ran
    most_parts_at_once = 0
    next_event = h11.Connection.next_event

    def counted_next_event(parser):
        nonlocal part_count, parts_at_once, most_parts_at_once
        part_count += 1
        parts_at_once += 1
        most_parts_at_once = max(most_parts_at_once, parts_at_once)
        return next_event(parser)

    monkeypatch.setattr(h11.Connection, "next_event", counted_next_event)

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(observe)
            with pytest.raises(ConnectionClosed):
                await read_response(server, HttpResponse())
            tasks.cancel_scope.cancel()

    async def observe():
        nonlocal parts_at_once
        while True:
            parts_at_once = 0
            await anyio.lowlevel.checkpoint()

    anyio.run(run)
    server.listener.close()
    assert most_parts_at_once <= MAX_PARTS_PER_TURN + 1
    assert part_count <= 2500


@pytest.mark.parametrize("keeps_body", [False, True])
def test_what_a_response_holds_is_reserved_and_released(keeps_body):
    body = bytes(30_000)
    server = EndlessServer(b"HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" + body, b"")
    memory = MemoryAccount(64e6, 0)
    response = HttpResponse(ResponseResources(memory, HoldUps()), keeps_body)

    async def run():
        connection = await connect(server.listener.getsockname(), BufferPool(), client_parser())
        with anyio.fail_after(TEST_TIMEOUT_S) as scope:
            await exchange(connection, HttpRequest("GET", "/", [("Host", "n")]), response, scope)
        connection.close()

    anyio.run(run)
    server.listener.close()
    assert response.is_complete and bytes(response.body) == (body if keeps_body else b"")
    reserved = memory.used(MemoryUse.CALLS)
    assert reserved > 20_000 if keeps_body else reserved <= 16 * 1024
    response.release()
    assert memory.used(MemoryUse.CALLS) == 0


def test_a_response_for_which_there_is_no_memory_is_not_read():
    server = EndlessServer(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", bytes(60_000))
    memory = MemoryAccount(64e6, 0)
    memory.reserve(MemoryUse.CALLS, memory.limit_of(MemoryUse.CALLS))
    response = HttpResponse(ResponseResources(memory, HoldUps()))

    async def run():
        with pytest.raises(ConnectionClosed):
            await read_response(server, response)

    anyio.run(run)
    server.listener.close()
    assert not response.is_complete
