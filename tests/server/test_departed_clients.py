"""Requests of clients that have closed their connection are not accepted.

TCP tells the node that a client has closed its sending side, also behind bytes that are still unread, and
that it has reset the connection. It does not tell whether a client that closed its sending side still reads:
such a client gets a 503, which is safe to retry. Nor does it tell of a client that vanished.
"""

import socket
import struct

import pytest
from server.test_connection_close import REQUEST, receive, run_with_server, wait_until

LINGER_ZERO = struct.pack("ii", 1, 0)


def close_in_order(client):
    client.close()


def reset(client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    client.close()


@pytest.mark.parametrize("leave", [close_in_order, reset])
@pytest.mark.parametrize("request_count", [1, 60])
def test_requests_of_a_client_that_has_closed_are_not_accepted(leave, request_count):
    """The first two of 60 events were accepted and sent, after a reset the first one."""

    async def test(in_process):
        client = socket.create_connection(in_process.listener.getsockname())
        client.sendall(b"".join(REQUEST % (b"left-%d" % number, 0) for number in range(request_count)))
        leave(client)
        await wait_until(lambda: in_process.server.accepted_count)
        await in_process.wait_until_all_closed()
        assert in_process.admitted_ids == []

    run_with_server(test)


@pytest.mark.parametrize("leave", [close_in_order, reset])
def test_events_pipelined_on_a_connection_that_closes_meanwhile_are_not_accepted(leave):
    async def test(in_process):
        client = socket.create_connection(in_process.listener.getsockname())
        accept = in_process.admit

        def accept_first_and_leave(pending, submitter):
            leave(client)
            return accept(pending, submitter)

        in_process.server._handler._admit = accept_first_and_leave
        client.sendall(b"".join(REQUEST % (b"evt-%d" % number, 0) for number in range(60)))
        await wait_until(lambda: in_process.admitted_ids)
        await in_process.wait_until_all_closed()
        assert in_process.admitted_ids == ["evt-0"]

    run_with_server(test)


def test_a_client_that_closed_its_sending_side_alone_gets_a_503():
    async def test(in_process):
        client = socket.create_connection(in_process.listener.getsockname())
        client.sendall(REQUEST % (b"half", 0))
        client.shutdown(socket.SHUT_WR)
        assert (await receive(client)).startswith(b"HTTP/1.1 503")
        client.close()
        assert in_process.admitted_ids == []

    run_with_server(test)


def test_a_client_that_leaves_after_its_202_changes_nothing():
    async def test(in_process):
        client = await in_process.open_idle_client()
        reset(client)
        await in_process.wait_until_all_closed()
        assert in_process.admitted_ids == ["first"]

    run_with_server(test)
