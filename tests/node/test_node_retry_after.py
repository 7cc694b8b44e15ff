"""The Retry-After of an endpoint applies to its whole destination."""

import socket
import threading
import time

from support.fake_servers import FakeEndpoint, connecting_count
from support.node_process import NodeProcess, wait_until

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination

REJECTED = (429, [("Retry-After", "0.6")], b"")


def test_retry_after_of_an_incomplete_response_is_respected(tmp_path):
    endpoint = FakeEndpoint(b"HTTP/1.1 429 Full\r\nRetry-After: 0.7\r\nContent-Length: 9\r\n\r\n", 200)
    with NodeProcess(tmp_path, endpoint) as node:
        assert node.submit() == 202
        wait_until(lambda: len(endpoint.calls) == 2)
        assert endpoint.calls[1][0] - endpoint.calls[0][0] > 0.69


def test_retry_after_delays_all_events_of_the_destination(tmp_path):
    first, second = FakeEndpoint(REJECTED, 200), FakeEndpoint(REJECTED, 200, ident="s-2")
    with NodeProcess(tmp_path, first, second) as node:
        node.submit()
        wait_until(lambda: first.calls or second.calls)
        for _ in range(4):
            assert node.submit("posting") == 202
        wait_until(lambda: len(first.calls) + len(second.calls) >= 6)
        times = sorted(call[0] for call in first.calls + second.calls)
        sent_too_early = [at for at in times[1:] if at - times[0] < 0.6]
        assert not sent_too_early


def test_a_call_with_a_slow_connect_is_not_sent_before_a_retry_after_received_meanwhile(tmp_path):
    def rank(endpoint_id):
        return Endpoint(endpoint_id, 0, Destination(1), 0).rank

    first, second = sorted(("s-1", "s-2"), key=rank)
    may_accept = threading.Event()

    class LateAcceptingEndpoint(FakeEndpoint):
        def _accept(self):
            may_accept.wait()
            super()._accept()

    may_respond = threading.Event()
    rejecting = FakeEndpoint(
        lambda body: may_respond.wait() and (429, [("Retry-After", "1.8")], b""), 200, ident=first
    )
    slow = LateAcceptingEndpoint(ident=second)
    slow.listener.listen(0)  # its accept queue is full until it accepts: the next connect takes a second
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(slow.listener.getsockname())
    with NodeProcess(tmp_path, rejecting, slow, Permissions={"ConnectTimeout": 4.0, "Probes": False}) as node:
        assert [node.submit(left="5000m"), node.submit(left="5000m")] == [202, 202]
        wait_until(lambda: rejecting.calls and connecting_count(slow.listener, fillers))
        rejected_at = time.monotonic()
        may_respond.set()
        may_accept.set()
        wait_until(lambda: len(rejecting.calls) + len(slow.calls) == 3)
        later_calls = [at for at, *_ in rejecting.calls[1:] + slow.calls]
        assert all(at >= rejected_at + 1.8 for at in later_calls)
    for filler in fillers:
        filler.close()
