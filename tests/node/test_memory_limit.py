"""A node keeps to the memory limit of its configuration, and its service, beside crowds of other clients."""

import time
from contextlib import ExitStack

from support.crowds import OrdinaryClients, crowd, process_memory_mb
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess

# Of submissions on new connections, this share gets a response within the time that clients wait.
MIN_ANSWERED_SHARE = 0.9


def test_a_node_beside_crowds_of_all_kinds_stays_within_its_memory_limit(tmp_path):
    """Its process passed the limit and was killed."""
    limit_mb = 32
    crowds = {
        "idle": 150,
        "incomplete_line": 100,
        "incomplete_head": 100,
        "incomplete_body": 150,
        "many_fields": 50,
        "many_fields_and_body": 50,
        "new_names": 5,
    }
    limits = {"memory_mb": limit_mb, "sockets": 1024}
    with ExitStack() as stack:
        node = stack.enter_context(
            NodeProcess(tmp_path, FakeEndpoint(), limits=limits, Permissions={"MaxOpen": 4000})
        )
        for kind, clients in crowds.items():
            stack.enter_context(crowd(node, kind, clients, seconds=8.0))
        time.sleep(1.0)
        with OrdinaryClients(node) as ordinary:
            time.sleep(3.0)
        assert process_memory_mb(node.process, "VmHWM") < limit_mb
        assert ordinary.answered_share >= MIN_ANSWERED_SHARE
