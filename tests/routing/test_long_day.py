"""What the tables of the node hold after a long day."""

import socket

import anyio
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog


def test_tables_empty_as_endpoints_ordering_keys_and_ids_come_and_go(tmp_path):
    """A long day: endpoints under ever-new ids at one address, ever-new ordering keys, events and keys."""
    anyio.run(_a_long_day, tmp_path)


async def _a_long_day(folder):
    run = SimulatedNode([], stream_types=[IDEMPOTENT._replace(is_ordered=True)], warm_up_ms=500.0)
    router, discovery = run.session.router, DiscoveryClient(("127.0.0.1", 1), None, {}, {}, 0.0, 0.0)
    log, lines = (
        WriteAheadLog(str(folder), 3_000_000, lambda: run.now),
        ConnectionPool(lambda: run.now, 1000.0, 50),
    )
    listener = socket.create_server(("127.0.0.1", 0))
    for number in range(300):
        row = {
            "id": f"s-{number}",
            "addr": f"127.0.0.1:{listener.getsockname()[1]}",
            "cell": 0,
            "state": "SERVING",
        }
        gone = {"id": f"s-{number - 1}", "addr": row["addr"], "cell": 0, "state": "DELETED"}
        run.schedule(
            200.0 * number,
            run.apply_endpoint_list,
            *discovery.apply_list({"version": number, "full": False, "servers": [row, gone]}),
        )
        run.schedule(200.0 * number, lambda ticket=number: run.submit(ticket, ordering_key=ticket + 1))
        run.run_until(200.0 * number + 199.0)
        held = PendingEvent(f"evt-{number}", f"key-{number}", "notice", 0, run.now + 5000.0, 0, 0, b"body")
        assert (
            log.matches_known_event(held) is None and log.append_accepted(held) and log.append_sent(held, 0)
        )
        log.append_ended(held)
        assert log.matches_known_event(held)
        line = Connection(socket.create_connection(listener.getsockname()), BufferPool(), None)
        listener.accept()[0].close()
        lines.release((row["id"], discovery.addresses[row["id"]]), line)
    lines.close_all()
    sizes = {
        "endpoints": len(router.endpoints),
        "down endpoints": len(router.health.down_endpoints),
        "ordering keys": len(router.ordering.queues),
        "destinations": len(router.destinations),
        "events": len(run.session.pending),
        "addresses": len(discovery.addresses),
        "held": len(log.pending),
        "over": len(log.recently_ended),
        "idle": len(lines.idle),
    }
    log.close(), listener.close()
    assert len(run.lines) >= 600 and sizes["addresses"] == sizes["destinations"] == 1
    assert (
        sizes["endpoints"] < 10
        and sizes["ordering keys"] < 10
        and sizes["over"] < 20
        and sum(sizes.values()) < 40
    ), sizes
