"""Builds the parts of a node, each from those that it needs."""

from typing import Any

from anyio.abc import TaskGroup
from loguru import logger

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.client.http_exchange import UNREADABLE
from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.configuration.node_config import NodeConfig
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.routing.router import Router
from swiftthread.server.http_server import HttpServer
from swiftthread.service import limits as timeouts
from swiftthread.service.admission import AdmissionController
from swiftthread.service.clocks import monotonic_ms, unix_ms
from swiftthread.service.delivery import EventDelivery
from swiftthread.service.limits import Limits
from swiftthread.service.node import Node
from swiftthread.service.scheduler import Scheduler
from swiftthread.service.submissions import SubmissionHandler
from swiftthread.storage.write_ahead_log import WriteAheadLog


def build_node(config: NodeConfig, limits: Limits, log: WriteAheadLog, tasks: TaskGroup) -> Node:
    """Build a node that is not started yet and knows the configuration's endpoint list.

    Args:
        config: What the node is told at start.
        limits: What it may use.
        log: Its open log, which outlives the node.
        tasks: Where its tasks run.
    """
    settings = config.settings
    names = config.names
    router = Router(settings, config.seed)
    scheduler = Scheduler(router, monotonic_ms, settings.tick_ms)
    admission = AdmissionController(settings.tick_ms)
    buffers = BufferPool()
    connections = ConnectionPool(monotonic_ms, limits.max_idle_ms, limits.max_idle_connections)
    discovery = DiscoveryClient(
        address=config.discovery,
        buffers=buffers,
        kind_numbers=names.kind_numbers,
        zone_numbers=names.zone_numbers,
        quiet_ms=timeouts.WATCH_QUIET_MS,
        connect_timeout_ms=timeouts.PLATFORM_RESPONSE_TIMEOUT_MS,
    )
    endpoint_client = EndpointClient(
        tasks=tasks,
        connections=connections,
        buffers=buffers,
        clock=monotonic_ms,
        wall_clock=unix_ms,
        addresses=discovery.addresses,
        connect_timeout_ms=limits.connect_timeout_ms,
        report_fields=config.report_fields,
        send_deadline=router.send_deadline,
    )
    notifier = ResultNotifier(
        address=config.discovery,
        buffers=buffers,
        response_timeout_ms=timeouts.PLATFORM_RESPONSE_TIMEOUT_MS,
        retry_pause_ms=timeouts.NOTIFICATION_RETRY_PAUSE_MS,
    )
    delivery = EventDelivery(
        router=router,
        scheduler=scheduler,
        log=log,
        endpoint_client=endpoint_client,
        notifier=notifier,
        stream_type_numbers=names.stream_type_numbers,
        tenant_numbers=names.tenant_numbers,
        clock=monotonic_ms,
        wall_clock=unix_ms,
        tasks=tasks,
    )
    submissions = SubmissionHandler(
        settings=settings,
        router=router,
        log=log,
        delivery=delivery,
        stream_type_numbers=names.stream_type_numbers,
        max_pending_bytes=limits.max_pending_bytes,
        clock=monotonic_ms,
        wall_clock=unix_ms,
    )
    server = HttpServer(
        admit=submissions.admit,
        stream_types=names.stream_type_numbers,
        buffers=buffers,
        limits=limits,
        wall_clock=unix_ms,
        first_request_ms=timeouts.FIRST_REQUEST_TIMEOUT_MS,
        request_ms=timeouts.REQUEST_TIMEOUT_MS,
        idle_ms=timeouts.CLIENT_IDLE_TIMEOUT_MS,
        admission=admission,
        request_tick=scheduler.request_tick,
    )
    if config.known_list:
        _apply_known_list(router, discovery, config.known_list)
    return Node(
        router=router,
        scheduler=scheduler,
        admission=admission,
        log=log,
        discovery=discovery,
        connections=connections,
        endpoint_client=endpoint_client,
        notifier=notifier,
        delivery=delivery,
        submissions=submissions,
        server=server,
        clock=monotonic_ms,
        tasks=tasks,
    )


def _apply_known_list(router: Router, discovery: DiscoveryClient, known_list: dict[str, Any]) -> None:
    """Start with the configuration's endpoint list, until the watch tells a newer one."""
    try:
        entries, is_complete = discovery.parse_list(known_list)
        router.apply_endpoint_list(entries, is_complete, monotonic_ms())
    except UNREADABLE as error:
        logger.warning("the configuration's known list cannot be read ({}); the watch will tell", error)
