"""Applies the steps of an incident that concern endpoints and discovery, each at its scheduled time."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import replace

from swiftthread.lab.emulator.calls import CallDispatcher
from swiftthread.lab.emulator.discovery import DiscoveryServer, EndpointEntry
from swiftthread.lab.emulator.endpoint_listener import EndpointListener
from swiftthread.lab.faults import SELF_EXPIRING_FAULTS, SOCKET_FAULTS, Fault, FaultKind
from swiftthread.lab.incident import DiscoveryFault, Incident, Step
from swiftthread.lab.outcomes import DestinationChange, EndpointState
from swiftthread.lab.receiver_model import ReceiverModel
from swiftthread.lab.run_records import DestinationChanged, RecordWriter, monotonic_ms

DISCOVERY_UNRESPONSIVE_STEP = "discovery_silent"  # Requests for the endpoint list get no response.
DISCOVERY_DISCONNECT_STEP = "discovery_cut"  # The watches are aborted.

DISCOVERY_RESPONSE_FAULTS: dict[str, FaultKind] = {
    DiscoveryFault.REPEAT_RESPONSES: FaultKind.REPEAT_RESPONSES,
    DiscoveryFault.LATE_LINES: FaultKind.LATE_RESPONSES,
    DiscoveryFault.NOTIFICATIONS_FAIL: FaultKind.ERRORS,
}
"""The steps of discovery that concern its responses, with the kind of fault."""

ENDPOINT_FAULT_KINDS = frozenset(FaultKind)
STATE_BY_FAULT = {
    FaultKind.DRAIN: EndpointState.DRAINING,
    FaultKind.REMOVE: EndpointState.DELETED,
    FaultKind.JOIN: EndpointState.SERVING,
}
"""The state that discovery announces for an endpoint with this fault."""


class FaultInjector:
    """Applies the steps of an incident to endpoints and discovery servers.

    Args:
        incident: The incident with the steps.
        receivers: The receiver model.
        listeners: The listeners of all endpoints by endpoint name.
        entries: The endpoint list entry of each endpoint while it serves, by endpoint name.
        discovery_servers: The discovery servers of all nodes.
        call_dispatcher: Sends the responses of calls that a fault ends.
        record_writer: Writes a record of each outage.
    """

    def __init__(
        self,
        incident: Incident,
        receivers: ReceiverModel,
        listeners: Mapping[str, EndpointListener],
        entries: Mapping[str, EndpointEntry],
        discovery_servers: Sequence[DiscoveryServer],
        call_dispatcher: CallDispatcher,
        record_writer: RecordWriter,
    ) -> None:
        self._incident = incident
        self._receivers = receivers
        self._listeners = listeners
        self._entries = entries
        self._discovery_servers = discovery_servers
        self._call_dispatcher = call_dispatcher
        self._record_writer = record_writer

    def schedule_steps(self, started_at: float) -> None:
        """Schedule each step, relative to the start of the incident at `started_at` (ms, monotonic clock)."""
        loop = asyncio.get_running_loop()
        for step in self._incident.step:
            delay_ms = max(0.0, started_at + step.at_ms - monotonic_ms())
            loop.call_later(delay_ms / 1000.0, self._run_step, step)

    def _run_step(self, step: Step) -> None:
        if step.what == DISCOVERY_UNRESPONSIVE_STEP:
            for discovery in self._discovery_servers:
                discovery.stop_responding_for(step.for_ms)
        elif step.what == DISCOVERY_DISCONNECT_STEP:
            for discovery in self._discovery_servers:
                discovery.drop_watches()
        elif step.what in DISCOVERY_RESPONSE_FAULTS:
            for discovery in self._discovery_servers:
                discovery.inject(DISCOVERY_RESPONSE_FAULTS[step.what], _fault_of(step))
        elif step.what in ENDPOINT_FAULT_KINDS:
            self._inject(_fault_of(step), self._incident.target_endpoints(step.on))
        # The remaining steps change the load or the nodes, and are applied by other processes.

    def _inject(self, fault: Fault, endpoint_names: list[str]) -> None:
        """Apply a fault to these endpoints, and heal them after its duration if that is not 0."""
        self._apply(monotonic_ms(), fault, endpoint_names)
        if fault.duration_ms and fault.kind not in SELF_EXPIRING_FAULTS:
            heal = replace(fault, kind=FaultKind.HEAL)
            asyncio.get_running_loop().call_later(
                fault.duration_ms / 1000.0, lambda: self._apply(monotonic_ms(), heal, endpoint_names)
            )

    def _apply(self, now: float, fault: Fault, endpoint_names: list[str]) -> None:
        """Apply a fault to the receiver model, the sockets and discovery."""
        listeners = [self._listeners[name] for name in endpoint_names]
        if fault.kind in SOCKET_FAULTS:
            for listener in listeners:
                listener.active_faults[fault.kind] = fault
            return
        endpoints = [listener.endpoint for listener in listeners]
        destinations = dict.fromkeys(endpoint.destination for endpoint in endpoints)
        destinations_up_before = [destination for destination in destinations if not destination.is_down()]
        listeners_draining_before = [listener for listener in listeners if listener.endpoint.is_draining]
        self._call_dispatcher.send_responses(self._receivers.apply(now, fault, endpoints))
        for listener in listeners:
            _apply_to_sockets(fault.kind, listener)
        if fault.kind in STATE_BY_FAULT:
            self._announce(listeners, STATE_BY_FAULT[fault.kind])
        elif fault.kind == FaultKind.HEAL and listeners_draining_before:
            self._announce(listeners_draining_before, EndpointState.SERVING)
        for destination in destinations_up_before:
            if destination.is_down():
                self._record_writer.write(
                    DestinationChanged(
                        now, destination.number, DestinationChange.DOWN, destination.capacity_per_ms()
                    )
                )
        self._call_dispatcher.reset_timer()

    def _announce(self, listeners: list[EndpointListener], state: EndpointState) -> None:
        """Announce the endpoints' new state at each discovery server, after that server's delay."""
        loop = asyncio.get_running_loop()
        changed_entries = [
            replace(self._entries[listener.endpoint.name], state=state) for listener in listeners
        ]
        for discovery in self._discovery_servers:
            loop.call_later(discovery.delay_ms / 1000.0, discovery.apply_changes, changed_entries)


def _fault_of(step: Step) -> Fault:
    return Fault(
        kind=DISCOVERY_RESPONSE_FAULTS.get(step.what) or FaultKind(step.what),
        share=step.share,
        sends_retry_after=step.wait_ms > 0.0,
        factor=step.factor,
        duration_ms=step.for_ms,
        max_delay_ms=step.wait_ms,
    )


def _apply_to_sockets(kind: FaultKind, listener: EndpointListener) -> None:
    if kind == FaultKind.REFUSE_CONNECTIONS:
        listener.refuse_connections()
    elif kind == FaultKind.BECOME_UNRESPONSIVE:
        listener.become_unresponsive()
    elif kind == FaultKind.JOIN:
        listener.open()
    elif kind == FaultKind.HEAL:
        listener.active_faults.clear()
        listener.end_unresponsiveness()
        listener.open()
