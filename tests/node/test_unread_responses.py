"""Responses that endpoints have written while the node did not run are recorded before it sends anything."""

import signal
import threading
import time

from support.fake_servers import FakeEndpoint, GatedEndpoint
from support.node_process import NodeProcess, wait_until

RATE_PER_S = 4.0
RETRY_AFTER_S = 2.0
STANDSTILL_S = 1.5


class RejectingEndpoint(FakeEndpoint):
    """An endpoint that rejects its first call, with a Retry-After, once `is_node_stopped` is set."""

    def __init__(self, **more):
        self.is_node_stopped = threading.Event()
        super().__init__(self._reject, 200, **more)

    def _reject(self, _body):
        self.is_node_stopped.wait()
        return 429, [("Retry-After", str(RETRY_AFTER_S))], b""

    def reject_while_stopped(self, node):
        """Stop the node for a while and reject the call; return when, as monotonic time in s."""
        node.process.send_signal(signal.SIGSTOP)
        rejected_at = time.monotonic()
        self.is_node_stopped.set()
        time.sleep(STANDSTILL_S)
        node.process.send_signal(signal.SIGCONT)
        return rejected_at


def test_a_retry_after_that_came_during_a_standstill_is_observed(tmp_path):
    """Guards against a send by a timer that was due, with the Retry-After unread in another socket."""
    endpoint = RejectingEndpoint()
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=RATE_PER_S)
    with NodeProcess(tmp_path, endpoint, Weights="nominal") as node:
        assert [node.submit() for _ in range(3)] == [202] * 3
        wait_until(lambda: endpoint.calls)
        rejected_at = endpoint.reject_while_stopped(node)
        wait_until(lambda: any(at > rejected_at for at, *_ in endpoint.calls))
        next_at = min(at for at, *_ in endpoint.calls if at > rejected_at)
    assert next_at >= rejected_at + RETRY_AFTER_S


def test_a_retry_after_that_came_during_a_standstill_holds_for_a_call_that_was_connecting(tmp_path):
    """Guards against the first byte of a call that was decided before, with the Retry-After unread."""
    endpoint, connecting = RejectingEndpoint(), GatedEndpoint(ident="s-2")
    with NodeProcess(tmp_path, endpoint, connecting, Permissions={"ConnectTimeout": 4.0}) as node:
        connecting.stop_accepting_at_once()
        assert [node.submit() for _ in range(2)] == [202] * 2
        wait_until(lambda: endpoint.calls and connecting.connecting_count())
        connecting.resume_accepting()
        # The kernel repeats the connection request, which the full queue dropped, after a second.
        rejected_at = endpoint.reject_while_stopped(node)
        wait_until(lambda: connecting.calls or len(endpoint.calls) > 1)
        next_at = min(at for at, *_ in [*connecting.calls, *endpoint.calls[1:]])
    assert next_at >= rejected_at + RETRY_AFTER_S
