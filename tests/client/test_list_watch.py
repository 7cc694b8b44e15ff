"""An open watch applies everything that has arrived at once, and ends with the error that it met."""

import json
import socket

import anyio
import h11
import pytest

from swiftthread.client.endpoint_list import EndpointList, MalformedEndpointList
from swiftthread.client.http_exchange import HttpRequest, client_parser, encode_request
from swiftthread.client.json_stream import MalformedJsonStream
from swiftthread.client.list_watch import MAX_WORK_PER_CALL, ListWatch
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection
from swiftthread.network.tcp_connection import ConnectionClosed

ENTRY = {"id": "s-1", "addr": "127.0.0.1:2", "cell": 1, "zone": "east", "kind": "plain", "state": "SERVING"}
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END_OF_BODY = b"0\r\n\r\n"
TEST_TIMEOUT_S = 5.0


def line_chunk(document):
    line = json.dumps(document).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


def change(version, **fields):
    """Return a list change of one endpoint."""
    return {"version": version, "full": False, "servers": [ENTRY | fields]}


class OpenWatch:
    """A watch whose peer is a socket of the test."""

    def __init__(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sock = socket.create_connection(listener.getsockname())
            self.peer, _ = listener.accept()
        self.connection = Connection(sock, BufferPool(), client_parser())
        encode_request(self.connection, HttpRequest("GET", "/", [("Host", "discovery")]))
        self.endpoint_list = EndpointList({"plain": 0}, {"east": 0})
        self.updates = []
        self.watch = ListWatch(self.connection, self.endpoint_list, self._record_update)

    def _record_update(self, entries, is_complete):
        self.updates.append([(entry.endpoint_id, entry.destination_number) for entry in entries])

    def send(self, *parts):
        """Write bytes to the watch; they have arrived when this returns."""
        self.peer.sendall(b"".join(parts))
        self.connection.socket.recv(1, socket.MSG_PEEK)

    async def run(self, idle_timeout_ms=60_000.0):
        with anyio.fail_after(TEST_TIMEOUT_S):
            await self.watch.run(idle_timeout_ms)


def test_all_documents_that_have_arrived_are_applied_without_waiting():
    """A document was applied in the next scheduling cycle, so several took as many, with sends between."""

    async def apply():
        opened = OpenWatch()
        opened.send(HEAD, *[line_chunk(change(version, cell=version)) for version in range(1, 6)])
        opened.watch.apply_available()
        return opened.updates

    assert anyio.run(apply) == [[("s-1", cell)] for cell in range(1, 6)]


@pytest.mark.parametrize(
    "ending, error",
    [
        (line_chunk({"version": 2, "servers": None}), MalformedEndpointList),
        (line_chunk(change(2, addr="nowhere")), MalformedEndpointList),
        (b"not a chunk\r\n", ConnectionClosed),
        (END_OF_BODY, None),
    ],
)
def test_the_task_of_a_watch_ends_with_what_another_task_has_read(ending, error):
    async def watch():
        opened = OpenWatch()
        raised = []

        async def run():
            try:
                await opened.run()
            except Exception as caught:
                raised.append(type(caught))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await anyio.wait_all_tasks_blocked()
            opened.send(HEAD, line_chunk(change(1)), ending)
            opened.watch.apply_available()
        return opened.updates[0], raised

    assert anyio.run(watch) == ([("s-1", 1)], [error] if error else [])


def test_a_watch_whose_idle_time_ran_out_while_the_process_stood_still_reads_first():
    async def watch():
        opened = OpenWatch()
        opened.watch._latest_at -= 1000.0
        opened.send(HEAD, line_chunk(change(1)), END_OF_BODY)
        await opened.run(idle_timeout_ms=100.0)
        return opened.updates

    assert anyio.run(watch) == [[("s-1", 1)]]


def test_updates_read_by_another_task_keep_a_watch_from_being_idle():
    async def watch():
        opened = OpenWatch()
        opened.watch._latest_at -= 1000.0
        opened.send(HEAD, line_chunk(change(1)))
        opened.watch.apply_available()
        with pytest.raises(TimeoutError):
            await opened.run(idle_timeout_ms=50.0)
        return anyio.current_time() - opened.watch._latest_at

    assert 0.05 <= anyio.run(watch) < TEST_TIMEOUT_S


def test_a_watch_that_never_stops_sending_lets_other_tasks_run(monkeypatch):
    """Reading went on until all that had come was read, 4 MiB at a time, and held one entry for each line."""
    reads = iter([HEAD, *[b"1\r\n\n\r\n" * 2000] * 40, END_OF_BODY])
    monkeypatch.setattr(Connection, "receive_available", lambda _connection: next(reads, b""))
    next_event = h11.Connection.next_event
    parts_at_once = 0  # since the other task ran
    most_parts_at_once = 0
    most_lines = 0

    def counted_next_event(parser):
        nonlocal parts_at_once, most_parts_at_once
        parts_at_once += 1
        most_parts_at_once = max(most_parts_at_once, parts_at_once)
        return next_event(parser)

    monkeypatch.setattr(h11.Connection, "next_event", counted_next_event)

    async def watch():
        opened = OpenWatch()

        async def observe():
            nonlocal parts_at_once, most_lines
            while True:
                parts_at_once = 0
                most_lines = max(most_lines, len(opened.watch._lines.lines))
                await anyio.lowlevel.checkpoint()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(observe)
            await opened.run()
            tasks.cancel_scope.cancel()

    anyio.run(watch)
    assert most_parts_at_once <= MAX_WORK_PER_CALL + 1 and most_lines == 0


def test_a_document_that_is_longer_than_its_memory_ends_the_watch():
    async def watch():
        opened = OpenWatch()
        opened.watch = ListWatch(opened.connection, opened.endpoint_list, opened._record_update, 1000)
        opened.send(HEAD, line_chunk(change(1)), b"3e8\r\n" + b"{" * 1000 + b"\r\n")
        opened.send(b"3e8\r\n" + b"{" * 1000 + b"\r\n")
        with pytest.raises(MalformedJsonStream):
            await opened.run()
        return opened.updates

    assert anyio.run(watch) == [[("s-1", 1)]]
