"""The emulator of one incident: builds its endpoints and discovery servers, opens them, runs the timeline."""

import random
from dataclasses import dataclass

from swiftthread.lab.emulator.calls import CallDispatcher
from swiftthread.lab.emulator.discovery import DiscoveryServer, EndpointEntry
from swiftthread.lab.emulator.endpoint_listener import EndpointListener
from swiftthread.lab.emulator.fault_injector import FaultInjector
from swiftthread.lab.emulator.notification_feed import NotificationFeed
from swiftthread.lab.event_loop_lag import EventLoopLagMonitor
from swiftthread.lab.incident import Destination as DestinationSettings
from swiftthread.lab.incident import Incident, Rules
from swiftthread.lab.outcomes import EndpointState
from swiftthread.lab.rate_limit import RateLimit
from swiftthread.lab.receiver_model import DestinationAvailabilityChanged, ModelEvent, ReceiverModel
from swiftthread.lab.receivers import Destination, Endpoint, service_time_sampler
from swiftthread.lab.run_records import DestinationChanged, RecordWriter, monotonic_ms

WATCH_HEARTBEAT_INTERVAL_MS = 2000.0  # The watch protocol specifies the interval between empty lines.
# The discovery delay of each node is the incident's delay times a factor that is drawn from this range.
DISCOVERY_DELAY_FACTORS = (0.5, 1.5)
ENDPOINT_KIND = "plain"


@dataclass(frozen=True, slots=True)
class EmulatorAddresses:
    """The addresses and the endpoint list that nodes and clients are started with.

    Attributes:
        discovery: The address of each node's discovery server.
        known: The initial endpoint list, as discovery sends it.
        feed: The address of the notification feed.
    """

    discovery: list[str]
    known: dict[str, object]
    feed: str


class Emulator:
    """Owns all endpoint listeners and discovery servers of a run.

    `open` must be called within a running event loop.

    Args:
        incident: The receivers, fleet and timeline to emulate.
        seed: The seed of all random draws.
        record_writer: Writes the records of the run.
    """

    def __init__(self, incident: Incident, seed: int, record_writer: RecordWriter) -> None:
        self._incident = incident
        self._record_writer = record_writer
        self._rng = random.Random(seed)
        self._receivers = ReceiverModel(self._rng, self._on_model_event)
        self._listeners: dict[str, EndpointListener] = {}
        self._entries: dict[str, EndpointEntry] = {}
        self._discovery_servers: list[DiscoveryServer] = []
        self._feed = NotificationFeed(record_writer)
        self._call_dispatcher = CallDispatcher(self._receivers, self._listeners, record_writer)
        self._fault_injector = FaultInjector(
            incident,
            self._receivers,
            self._listeners,
            self._entries,
            self._discovery_servers,
            self._call_dispatcher,
            record_writer,
        )

    def _on_model_event(self, event: ModelEvent) -> None:
        if isinstance(event, DestinationAvailabilityChanged):
            destination = self._receivers.destinations[event.destination]
            self._record_writer.write(
                DestinationChanged(event.at, destination.number, event.change, destination.capacity_per_ms())
            )

    async def open(self) -> EmulatorAddresses:
        """Start to listen on all sockets except those of spare endpoints."""
        for name, number, settings, zone, is_spare in self._incident.endpoints():
            self._add_endpoint(name, number, settings, zone, is_spare)
        await self._open_discovery()
        await self._feed.open()
        return EmulatorAddresses(
            discovery=[discovery.address for discovery in self._discovery_servers],
            known=self._discovery_servers[0].full_list(),
            feed=self._feed.address,
        )

    def _add_endpoint(
        self, name: str, number: int, settings: DestinationSettings, zone: str, is_spare: bool
    ) -> None:
        destination = self._receivers.destinations.get(number)
        if destination is None:
            destination = _build_destination(number, settings, self._incident.rules)
        endpoint = Endpoint(
            name=name,
            destination=destination,
            zone=zone,
            workers=settings.workers,
            queue_capacity=settings.queue,
            max_connections=settings.connections,
            draw_service_ms=service_time_sampler(
                settings.service, settings.service_ms, settings.cv, self._rng
            ),
            mean_service_ms=settings.service_ms,
        )
        endpoint.is_removed = is_spare
        listener = EndpointListener(
            self._receivers.add(endpoint), self._receivers, self._rng, self._call_dispatcher
        )
        self._listeners[name] = listener
        self._entries[name] = EndpointEntry(
            id=name,
            addr=listener.address,
            zone=zone,
            kind=ENDPOINT_KIND,
            cell=number,
            state=EndpointState.SERVING,
            weight=settings.rate_per_s if settings.listed else 0.0,
            started_ms=0,
        )
        if not is_spare:
            listener.open()

    async def _open_discovery(self) -> None:
        listed_entries = [
            entry for name, entry in self._entries.items() if not self._receivers.endpoints[name].is_removed
        ]
        for node in range(self._incident.fleet.nodes):
            delay_ms = self._incident.rules.list_delay_ms * self._rng.uniform(*DISCOVERY_DELAY_FACTORS)
            discovery = DiscoveryServer(
                f"n{node}", listed_entries, delay_ms, self._record_writer, self._feed.publish, self._rng
            )
            await discovery.open()
            self._discovery_servers.append(discovery)

    async def run_timeline(self, started_at: float) -> None:
        """Run the timeline, which starts at `started_at` (ms of the monotonic clock), until cancelled."""
        self._fault_injector.schedule_steps(started_at)
        lag_monitor = EventLoopLagMonitor("emulator", self._record_writer)
        heartbeat_at = monotonic_ms()
        while True:
            await lag_monitor.check()
            now = monotonic_ms()
            if now - heartbeat_at >= WATCH_HEARTBEAT_INTERVAL_MS:
                heartbeat_at = now
                for discovery in self._discovery_servers:
                    discovery.send_heartbeats()

    def close(self) -> None:
        """Close all endpoints; the discovery servers close with the event loop."""
        for listener in self._listeners.values():
            listener.close()


def _build_destination(number: int, settings: DestinationSettings, rules: Rules) -> Destination:
    return Destination(
        number=number,
        rate_limit=RateLimit(
            rate_per_s=settings.rate_per_s,
            window_ms=settings.span_ms,
            burst=settings.burst,
            counts_rejections=settings.refusals_use,
        ),
        cold_capacity_share=rules.cold_from,
        warm_up_ms=rules.warm_up_ms,
        overload_multiple=rules.fall_multiple,
        overload_window_ms=rules.fall_ms,
        sends_retry_after=settings.tells_wait,
    )
