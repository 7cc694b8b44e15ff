"""Sizes of the node's tables after long operation."""

import anyio
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog


def test_tables_stay_small_while_endpoint_ids_ordering_keys_and_events_change(tmp_path):
    """Protects against tables that grow without limit.

    Every step adds an endpoint under a new id at the same address, and an event with a new id, ordering key
    and idempotency key.
    """
    anyio.run(_run_long_day, tmp_path)


async def _run_long_day(folder):
    run = SimulatedNode([], stream_types=[IDEMPOTENT._replace(is_ordered=True)], warm_up_ms=500.0)
    router, discovery = run.session.router, DiscoveryClient(("127.0.0.1", 1), None, {}, {}, 0.0, 0.0)
    log = WriteAheadLog(str(folder), 3_000_000, lambda: run.now)
    for number in range(300):
        added = {
            "id": f"s-{number}",
            "addr": "127.0.0.1:2",
            "cell": 0,
            "state": "SERVING",
        }
        removed = {"id": f"s-{number - 1}", "addr": added["addr"], "cell": 0, "state": "DELETED"}
        run.schedule(
            200.0 * number,
            run.apply_endpoint_list,
            *discovery.apply_list({"version": number, "full": False, "servers": [added, removed]}),
        )
        run.schedule(200.0 * number, lambda ticket=number: run.submit(ticket, ordering_key=ticket + 1))
        run.run_until(200.0 * number + 199.0)
        pending = PendingEvent(f"evt-{number}", f"key-{number}", "notice", 0, run.now + 5000.0, 0, 0, b"body")
        assert (
            log.matches_known_event(pending) is None
            and log.append_accepted(pending)
            and log.append_sent(pending, 0)
        )
        log.append_ended(pending)
        assert log.matches_known_event(pending)
    sizes = {
        "endpoints": len(router.endpoints),
        "down endpoints": len(router.health.down_endpoints),
        "ordering keys": len(router.ordering.queues),
        "destinations": len(router.destinations),
        "events": len(run.session.pending),
        "addresses": len(discovery.addresses),
        "logged events": len(log.pending),
        "recently ended events": len(log.recently_ended),
    }
    log.close()
    assert len(run.lines) >= 600 and sizes["addresses"] == sizes["destinations"] == 1
    assert (
        sizes["endpoints"] < 10
        and sizes["ordering keys"] < 10
        and sizes["recently ended events"] < 20
        and sum(sizes.values()) < 40
    ), sizes
