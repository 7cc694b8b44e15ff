"""List changes that discovery has written while the node did not run are applied before it sends anything."""

import signal
import time

from support.fake_servers import FakeEndpoint, GatedEndpoint
from support.node_process import NodeProcess, wait_until

RETRY_AFTER_S = 0.5
STANDSTILL_S = 1.5  # a node adds a random pause to a Retry-After


def replace_endpoint(discovery, old, new):
    """Replace an endpoint in several list changes; one of another destination takes its address at last."""
    discovery.send_change(new.entry() | {"id": "s-other", "cell": 3})
    discovery.send_change(new.entry())
    discovery.send_change(old.entry("DRAINING"))
    discovery.send_change(old.entry("DELETED"))
    discovery.send_change(old.entry() | {"id": "s-taker", "cell": 2})


def stop_while(node, change):
    """Stop the node's process, call `change`, and let the process go on after a while."""
    node.process.send_signal(signal.SIGSTOP)
    change()
    time.sleep(STANDSTILL_S)
    node.process.send_signal(signal.SIGCONT)


def test_a_node_that_stood_still_reads_list_changes_before_it_sends(tmp_path):
    """Guards against a send to an address that had passed to another destination during the standstill."""
    old = FakeEndpoint((429, [("Retry-After", str(RETRY_AFTER_S))], b""), 200)
    new = FakeEndpoint(ident="s-new")
    with NodeProcess(tmp_path, old) as node:
        wait_until(lambda: node.discovery.watches)
        assert node.submit() == 202
        wait_until(lambda: b'N["evt-1"' in node.log_path().read_bytes())
        assert [node.submit() for _ in range(2)] == [202] * 2
        stop_while(node, lambda: replace_endpoint(node.discovery, old, new))
        wait_until(lambda: {"evt-1", "evt-2", "evt-3"} <= {*old.event_ids()[1:], *new.event_ids()})
        assert old.event_ids() == ["evt-1"]


def test_a_connection_established_during_a_standstill_is_not_used_for_an_endpoint_that_left(tmp_path):
    """Guards against a request on a connection to an address that passed on before its first byte."""
    old, new = GatedEndpoint(), FakeEndpoint(ident="s-new")
    with NodeProcess(tmp_path, old, Permissions={"ConnectTimeout": 4.0}) as node:
        wait_until(lambda: node.discovery.watches)
        old.stop_accepting_at_once()
        assert node.submit() == 202
        wait_until(old.connecting_count)

        def change():
            replace_endpoint(node.discovery, old, new)
            # The kernel repeats the connection request, which the full queue dropped, after a second.
            old.resume_accepting()

        stop_while(node, change)
        wait_until(lambda: old.calls or new.calls)
        assert old.calls == [] and len(new.calls) == 1
