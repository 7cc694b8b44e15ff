"""Builds the components of a node and connects them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.json_stream import MAX_OBJECT_BYTES
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.client.send_preparation import SendPreparation
from swiftthread.clocks import Clock, monotonic_ms
from swiftthread.configuration.node_config import NodeConfig
from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import MemoryAccount, MemoryUse, resident_bytes
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.routing.router import Router
from swiftthread.server.connection_handler import ConnectionHandler
from swiftthread.server.http_server import HttpServer
from swiftthread.service.activity import Activity
from swiftthread.service.admission import AdmissionController
from swiftthread.service.delivery import EventDelivery
from swiftthread.service.limits import (
    CLIENT_IDLE_TIMEOUT_MS,
    FIRST_REQUEST_TIMEOUT_MS,
    NOTIFICATION_RETRY_PAUSE_MS,
    PLATFORM_RESPONSE_TIMEOUT_MS,
    REQUEST_TIMEOUT_MS,
    WATCH_IDLE_TIMEOUT_MS,
    Limits,
)
from swiftthread.service.list_follower import EndpointListFollower
from swiftthread.service.node import Node
from swiftthread.service.resource_report import ResourceReport
from swiftthread.service.scheduler import Scheduler
from swiftthread.service.submissions import SubmissionHandler
from swiftthread.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from swiftthread.storage.pending_event import PendingEvent

# The list of the largest fleet is read whatever the memory.
MAX_FLEET_ENDPOINTS = 3200
# An entry of the list, without indentation.
LIST_ENTRY_BYTES = 256
MIN_DOCUMENT_BYTES = MAX_FLEET_ENDPOINTS * LIST_ENTRY_BYTES


class NodeBuilder:
    """Builds one node, not yet started, that has the endpoint list of the configuration.

    Args:
        log: The open write-ahead log, which is closed after the node has ended.
        log_clock: Clock of the timestamps in the log.
    """

    def __init__(
        self,
        config: NodeConfig,
        limits: Limits,
        log: WriteAheadLog,
        log_clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._config = config
        # These are the resources that the node may use.
        self._limits = limits
        self._log = log
        self._log_clock = log_clock
        # The node's tasks run in this task group.
        self._tasks = tasks
        self._buffers = BufferPool()
        self._memory = MemoryAccount(limits.memory_bytes, resident_bytes())
        self._activity = Activity()
        self._hold_ups = HoldUps()
        self._router = Router(config.settings, config.seed, self._activity, reuses_connections=False)
        self._scheduler = Scheduler(
            self._router, monotonic_ms, config.settings.scheduling_interval_ms, self._hold_ups
        )
        self._admission = AdmissionController(config.settings.scheduling_interval_ms)

    def build(self) -> Node:
        """Build all components and the node itself."""
        discovery = self._build_discovery()
        endpoint_client = self._build_endpoint_client(discovery)
        notifier = self._build_notifier()
        delivery = self._build_delivery(endpoint_client, notifier)
        submissions = self._build_submissions(delivery)
        server = self._build_server(submissions)
        self._activity.describe_resources = ResourceReport(self._memory, server, self._hold_ups).describe
        list_follower = self._build_list_follower(discovery)
        self._memory.set_start_bytes(resident_bytes())
        return Node(
            router=self._router,
            scheduler=self._scheduler,
            admission=self._admission,
            log=self._log,
            discovery=discovery,
            list_follower=list_follower,
            endpoint_client=endpoint_client,
            notifier=notifier,
            delivery=delivery,
            submissions=submissions,
            server=server,
            activity=self._activity,
            clock=monotonic_ms,
            tasks=self._tasks,
        )

    def _build_discovery(self) -> DiscoveryClient:
        return DiscoveryClient(
            address=self._config.discovery,
            buffers=self._buffers,
            kind_numbers=self._config.setting_numbers.kind_numbers,
            zone_numbers=self._config.setting_numbers.zone_numbers,
            idle_timeout_ms=WATCH_IDLE_TIMEOUT_MS,
            connect_timeout_ms=PLATFORM_RESPONSE_TIMEOUT_MS,
            first_line_timeout_ms=self._first_line_timeout_ms(),
            max_document_bytes=self._max_document_bytes(),
            hold_ups=self._hold_ups,
        )

    def _first_line_timeout_ms(self) -> float:
        # A discovery service that all nodes share may answer late; an agent on this machine does not.
        return math.inf if self._config.settings.polls_discovery else PLATFORM_RESPONSE_TIMEOUT_MS

    def _max_document_bytes(self) -> int:
        limit = self._memory.limit_of(MemoryUse.ENDPOINT_LIST)
        return min(MAX_OBJECT_BYTES, max(MIN_DOCUMENT_BYTES, limit))

    def _build_endpoint_client(self, discovery: DiscoveryClient) -> EndpointClient:
        return EndpointClient(
            tasks=self._tasks,
            buffers=self._buffers,
            clock=monotonic_ms,
            log_clock=self._log_clock,
            addresses=discovery.addresses,
            connect_timeout_ms=self._limits.connect_timeout_ms,
            report_fields=self._config.report_fields,
            preparation=SendPreparation(
                wait_until_recorded=self._scheduler.wait_until_recorded,
                record_send=self._record_send,
                update_endpoint_list=discovery.apply_available_updates,
                send_deadline=self._router.send_deadline,
            ),
            observer=self._activity,
            memory=self._memory,
            hold_ups=self._hold_ups,
        )

    def _record_send(self, pending: PendingEvent) -> bool:
        return self._log.append_sent(pending, pending.router_event.sent_group)

    def _build_notifier(self) -> ResultNotifier:
        return ResultNotifier(
            address=self._config.discovery,
            buffers=self._buffers,
            response_timeout_ms=PLATFORM_RESPONSE_TIMEOUT_MS,
            retry_pause_ms=NOTIFICATION_RETRY_PAUSE_MS,
        )

    def _build_delivery(self, endpoint_client: EndpointClient, notifier: ResultNotifier) -> EventDelivery:
        return EventDelivery(
            router=self._router,
            scheduler=self._scheduler,
            log=self._log,
            endpoint_client=endpoint_client,
            notifier=notifier,
            activity=self._activity,
            stream_type_numbers=self._config.setting_numbers.stream_type_numbers,
            tenant_numbers=self._config.setting_numbers.tenant_numbers,
            clock=monotonic_ms,
            log_clock=self._log_clock,
            memory=self._memory,
            tasks=self._tasks,
        )

    def _build_submissions(self, delivery: EventDelivery) -> SubmissionHandler:
        return SubmissionHandler(
            settings=self._config.settings,
            router=self._router,
            log=self._log,
            delivery=delivery,
            activity=self._activity,
            stream_type_numbers=self._config.setting_numbers.stream_type_numbers,
            memory=self._memory,
            clock=monotonic_ms,
            log_clock=self._log_clock,
        )

    def _build_server(self, submissions: SubmissionHandler) -> HttpServer:
        handler = ConnectionHandler(
            admit=submissions.admit,
            stream_types=self._config.setting_numbers.stream_type_numbers,
            limits=self._limits,
            hold_ups=self._hold_ups,
            log_clock=self._log_clock,
            first_request_timeout_ms=FIRST_REQUEST_TIMEOUT_MS,
            request_timeout_ms=REQUEST_TIMEOUT_MS,
            idle_timeout_ms=CLIENT_IDLE_TIMEOUT_MS,
            admission=self._admission,
            request_cycle=self._scheduler.request_cycle,
        )
        return HttpServer(handler, self._buffers, self._limits, self._memory, self._scheduler.request_cycle)

    def _build_list_follower(self, discovery: DiscoveryClient) -> EndpointListFollower:
        follower = EndpointListFollower(
            discovery=discovery,
            router=self._router,
            scheduler=self._scheduler,
            memory=self._memory,
            clock=monotonic_ms,
        )
        follower.apply_cached_list(self._config.initial_list)
        return follower
