"""Keeps the router's endpoint list up to date: the cached list at the start, then what discovery sends."""

from __future__ import annotations

from typing import Any

import anyio
from loguru import logger

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.client.http_exchange import PARSE_ERRORS
from swiftthread.clocks import Clock
from swiftthread.memory_account import MemoryAccount, MemoryUse
from swiftthread.routing.messages import EndpointEntry
from swiftthread.routing.router import Router
from swiftthread.service.log_filter import STATE_CHANGE
from swiftthread.service.scheduler import Scheduler

# Memory of an endpoint: its entry, its address, and its state in the router.
ENDPOINT_BYTES = 5 * 1024


class EndpointListFollower:
    """Passes endpoint lists from the configuration and from discovery to the router."""

    def __init__(
        self,
        *,
        discovery: DiscoveryClient,
        router: Router,
        scheduler: Scheduler,
        memory: MemoryAccount,
        clock: Clock,
    ) -> None:
        self._discovery = discovery
        self._router = router
        self._scheduler = scheduler
        self._memory = memory
        self._reserved_bytes = 0  # for the endpoints that were listed after the start
        self._cached_count = 0
        self._clock = clock
        self._started_at = clock()

    def apply_cached_list(self, document: dict[str, Any] | None) -> None:
        """Use the endpoint list of the configuration until discovery confirms it or sends another."""
        entries: list[EndpointEntry] = []
        try:
            if document:
                entries, _ = self._discovery.apply_list(document)
        except PARSE_ERRORS as error:
            logger.warning(
                "the endpoint list (known) in the configuration is invalid ({}); "
                "the node waits for the list from discovery",
                error,
            )
        self._router.apply_cached_endpoint_list(entries, self._clock())
        self._cached_count = len(entries)

    async def run(self) -> None:
        """Keep a discovery watch open; after a failure the router determines when to open the next one."""
        while True:
            self._router.record_list_request(self._clock())
            if not await self._discovery.watch(self._apply_update):
                continue
            retry_at = self._router.record_list_request_failure(self._clock())
            self._report_missing_confirmation()
            while not self._router.start_due_list_request(now := self._clock()):
                await anyio.sleep((retry_at - now) / 1000.0)

    def _apply_update(self, entries: list[EndpointEntry], is_complete: bool) -> None:
        # Apply a complete endpoint list, or a change to it, to the router.
        now = self._clock()
        if not self._router.is_list_confirmed:
            self._report_confirmation(now)
        self._router.apply_endpoint_list(entries, is_complete, now)
        self._reserve_memory()
        self._scheduler.wake()
        self._scheduler.request_cycle()

    def _reserve_memory(self) -> None:
        # Reserve memory for the endpoints that were not listed at the start. They are not rejected when there
        # is none: the other uses then get less.
        new_count = max(0, len(self._discovery.addresses) - self._cached_count)
        reserved_bytes = ENDPOINT_BYTES * new_count
        self._memory.reserve(MemoryUse.ENDPOINT_LIST, reserved_bytes - self._reserved_bytes)
        self._reserved_bytes = reserved_bytes

    def _report_confirmation(self, now: float) -> None:
        logger.bind(**STATE_CHANGE).info(
            "discovery answered {:.0f} ms after the start; the endpoint list has version {}, "
            "and {} events are pending",
            now - self._started_at,
            self._discovery.endpoint_list.version,
            self._router.pending_count,
        )

    def _report_missing_confirmation(self) -> None:
        if self._router.is_list_confirmed:
            return
        logger.warning(
            "discovery has not answered for {:.1f} s since the start; {} events are pending, "
            "and the endpoint list is that of the configuration (version {}, 0 for none)",
            (self._clock() - self._started_at) / 1000.0,
            self._router.pending_count,
            self._discovery.endpoint_list.version,
        )
