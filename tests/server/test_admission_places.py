"""While a node is overloaded, requests from which no event follows do not take the place of others."""

import socket

import pytest
from server.test_connection_close import REQUEST, receive, run_with_server

NO_EVENT = {
    "incomplete": REQUEST % (b"incomplete", 9),
    "invalid": b"nonsense\r\n\r\n",
    "too many fields": b"POST /once HTTP/1.1\r\n" + b"a:\r\n" * 200,
}


@pytest.mark.parametrize("name", NO_EVENT)
def test_one_place_serves_a_client_behind_many_requests_without_an_event(name):
    async def test(in_process):
        admission = in_process.admission
        for _ in range(60):
            admission.record_cycle(80.0, 0)
        admission.remaining_requests = 1
        others = [socket.create_connection(in_process.listener.getsockname()) for _ in range(20)]
        for other in others:
            other.sendall(NO_EVENT[name])
        client = socket.create_connection(in_process.listener.getsockname())
        client.sendall(REQUEST % (b"event", 0))
        assert (await receive(client)).startswith(b"HTTP/1.1 202")
        assert admission.remaining_requests == 0 and in_process.admitted_ids == ["event"]
        for conn in (client, *others):
            conn.close()

    run_with_server(test)
