"""Health checks of endpoints."""

import threading

import anyio
import pytest
from support.endpoint_clients import endpoint_client
from support.fake_servers import FakeHttpServer, send_if_open

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination
from swiftthread.routing.messages import SendOutcome


class ClientOfOneEndpoint:
    """An endpoint client, and the server at the endpoint's address."""

    def __init__(self, respond):
        self.server = FakeHttpServer(respond)
        host, port = self.server.address.split(":")
        self.addresses = {"a": (host, int(port))}
        self.endpoint = Endpoint("a", 0, Destination(0), 0)
        self.endpoint.is_ready = True
        self.apply_change = lambda: None
        self.client = endpoint_client(None, self.addresses, update_endpoint_list=lambda: self.apply_change())

    def check_health(self):
        """Returns the outcome of a health check."""
        return anyio.run(self.client.check_health, self.endpoint).outcome


@pytest.mark.parametrize("address_changes, expected", [(False, "acked"), (True, "timed out")])
def test_a_response_from_a_previous_address_is_ignored(address_changes, expected):
    def respond(method, target, headers, body):
        if address_changes:
            client.addresses["a"] = ("127.0.0.1", 1)
        return 200, [], b""

    client = ClientOfOneEndpoint(respond)
    assert client.check_health() == expected


@pytest.mark.parametrize("change", ["moves", "drains"])
def test_an_endpoint_that_leaves_while_the_connection_is_established_gets_no_health_check(change):
    """Guards against a health check at an address that an unread list change has taken from the endpoint."""
    requests = []
    client = ClientOfOneEndpoint(lambda *request: (requests.append(request), (200, [], b""))[1])

    def apply_change():
        if change == "moves":
            client.addresses["a"] = ("127.0.0.1", 1)
        else:
            client.endpoint.is_ready = False

    client.apply_change = apply_change
    assert client.check_health() == "unreachable" and requests == []


def test_a_copy_of_an_earlier_response_does_not_end_a_health_check():
    def respond(*_request):
        if checked.is_set():
            send_if_open(client.server.conns[0], b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return 503, [], b""
        checked.set()
        return 200, [], b""

    checked = threading.Event()
    client = ClientOfOneEndpoint(respond)
    assert client.check_health() == SendOutcome.ACKED
    assert client.check_health() == SendOutcome.RATE_LIMITED
    assert client.server.accepted == 2
