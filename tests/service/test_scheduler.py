"""Scheduling cycles: what has arrived is applied before events are decided."""

import anyio

from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps
from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings, StreamType
from swiftthread.service.scheduler import Scheduler

SCHEDULING_INTERVAL_MS = 1.0
TEST_TIMEOUT_S = 5.0


def test_a_list_change_that_arrives_before_a_cycle_decides_its_events():
    """Otherwise a node that stood still sends by the list of before: its timers are due when it goes on."""

    async def decide():
        router = Router(Settings(stream_types=[StreamType(1500.0, 6000.0)]), 7)
        router.apply_endpoint_list([("a", 0, 0, 0, 0.0, True)], True, 0.0)
        scheduler = Scheduler(router, monotonic_ms, SCHEDULING_INTERVAL_MS, HoldUps())
        event = router.add_event(monotonic_ms(), 0, 0, 6000.0)

        def apply_change():
            changed = [("a", 0, 0, 0, 0.0, False), ("b", 0, 0, 0, 0.0, True)]
            router.apply_endpoint_list(changed, False, monotonic_ms())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scheduler.run, apply_change, lambda *_: None)
            with anyio.fail_after(TEST_TIMEOUT_S):
                send = await scheduler.wait_for_decision(event)
            tasks.cancel_scope.cancel()
        return send.endpoint.endpoint_id

    assert anyio.run(decide) == "b"
