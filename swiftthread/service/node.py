"""One delivery node, with the tasks that are not specific to one event."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.clocks import Clock
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.router import Router
from swiftthread.server.http_server import HttpServer
from swiftthread.service.activity import Activity
from swiftthread.service.admission import AdmissionController
from swiftthread.service.delivery import EventDelivery
from swiftthread.service.list_follower import EndpointListFollower
from swiftthread.service.scheduler import Scheduler
from swiftthread.service.submissions import SubmissionHandler
from swiftthread.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from anyio.abc import TaskGroup


@dataclass(kw_only=True)
class Node:
    """The components of a node, and the tasks that connect them."""

    # The owner of the node closes `log`.

    router: Router
    scheduler: Scheduler
    admission: AdmissionController
    log: WriteAheadLog
    discovery: DiscoveryClient
    list_follower: EndpointListFollower
    endpoint_client: EndpointClient
    notifier: ResultNotifier
    delivery: EventDelivery
    submissions: SubmissionHandler
    server: HttpServer
    activity: Activity
    clock: Clock
    tasks: TaskGroup

    def start(self) -> None:
        """Resume the events in the log, and start the tasks that run for the lifetime of the node."""
        self.delivery.resume()
        self.tasks.start_soon(self.notifier.run)
        self.tasks.start_soon(self.scheduler.run, self.discovery.apply_available_updates, self._on_cycle)
        self.tasks.start_soon(self.list_follower.run)
        self.tasks.start_soon(self.activity.report)

    def _on_cycle(self, now: float, decided_count: int, delay_ms: float) -> None:
        # Do the work that follows each scheduling cycle: start calls, admit waiting requests, and start
        # health checks.
        self.endpoint_client.start_batches()
        self.admission.record_cycle(delay_ms, decided_count)
        self.server.admit_waiting()
        for endpoint in self.router.endpoints_due_for_health_check(now):
            self.tasks.start_soon(self._check_health, endpoint)

    async def _check_health(self, endpoint: Endpoint) -> None:
        # Make one health check and record its outcome in the router.
        result = await self.endpoint_client.check_health(endpoint)
        now = await self.scheduler.wait_for_cycle()
        self.router.record_health_check(
            endpoint.endpoint_id, result.outcome, now, result.latency_ms, result.load_report
        )
        self.scheduler.wake(endpoint.destination)
