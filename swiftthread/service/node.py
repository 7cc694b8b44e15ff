"""One delivery node: what runs beside the deliveries of single events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.clocks import Clock
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.messages import EndpointEntry
from swiftthread.routing.router import Router
from swiftthread.server.http_server import HttpServer
from swiftthread.service.activity import Activity
from swiftthread.service.admission import AdmissionController
from swiftthread.service.delivery import EventDelivery
from swiftthread.service.scheduler import Scheduler
from swiftthread.service.submissions import SubmissionHandler
from swiftthread.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from anyio.abc import TaskGroup


@dataclass(kw_only=True)
class Node:
    """The parts of a node, and the tasks that join them.

    `connections` are the idle ones to endpoints. `log` and `connections` are closed by the owner of the node.
    """

    router: Router
    scheduler: Scheduler
    admission: AdmissionController
    log: WriteAheadLog
    discovery: DiscoveryClient
    connections: ConnectionPool
    endpoint_client: EndpointClient
    notifier: ResultNotifier
    delivery: EventDelivery
    submissions: SubmissionHandler
    server: HttpServer
    activity: Activity
    clock: Clock
    tasks: TaskGroup

    def start(self) -> None:
        """Resume what the log holds, and start the tasks that run as long as the node."""
        self.delivery.resume()
        self.tasks.start_soon(self.notifier.run)
        self.tasks.start_soon(self.scheduler.run, self._on_cycle)
        self.tasks.start_soon(self._follow_discovery)
        self.tasks.start_soon(self.activity.report)

    def _on_cycle(self, now: float, decided_count: int, late_ms: float) -> None:
        """What a cycle leads to besides decisions: batches, admission, health checks, idle connections."""
        self.endpoint_client.start_batches()
        self.admission.record_cycle(late_ms, decided_count)
        self.server.admit_waiting()
        for endpoint in self.router.endpoints_due_for_health_check(now):
            self.tasks.start_soon(self._check_health, endpoint)
        for endpoint in self.router.endpoints_to_disconnect(now):
            self.endpoint_client.close_idle_connections(endpoint)

    async def _check_health(self, endpoint: Endpoint) -> None:
        """Send one health check and tell the router its outcome."""
        result = await self.endpoint_client.check_health(endpoint)
        now = await self.scheduler.wait_for_cycle()
        self.router.record_health_check(
            endpoint.endpoint_id, result.outcome, now, result.latency_ms, result.load_report
        )
        self.scheduler.wake(endpoint.destination)

    async def _apply_endpoint_list(self, entries: list[EndpointEntry], is_complete: bool) -> None:
        """Tell the router a list of endpoints, or a change of it."""
        now = await self.scheduler.wait_for_cycle()
        self.router.apply_endpoint_list(entries, is_complete, now)
        self.scheduler.wake()

    async def _follow_discovery(self) -> None:
        """Keep a watch open; when it fails, the router says when to open the next."""
        while True:
            if not await self.discovery.watch(self._apply_endpoint_list):
                continue
            retry_at = self.router.list_request_failed(self.clock())
            while not self.router.should_request_list(now := self.clock()):
                await anyio.sleep((retry_at - now) / 1000.0)
