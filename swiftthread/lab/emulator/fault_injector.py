"""The incident's steps that the emulator carries out, at their moments."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import replace

from swiftthread.lab.emulator.calls import CallDispatcher
from swiftthread.lab.emulator.discovery import DiscoveryServer, EndpointEntry
from swiftthread.lab.emulator.endpoint_listener import EndpointListener
from swiftthread.lab.faults import SELF_ENDING_FAULTS, SOCKET_FAULTS, Fault, FaultKind
from swiftthread.lab.incident import Incident, Step
from swiftthread.lab.outcomes import DestinationChange, EndpointState
from swiftthread.lab.receiver_model import ReceiverModel
from swiftthread.lab.run_records import DestinationChanged, RecordWriter, monotonic_ms

DISCOVERY_SILENT = "discovery_silent"  # the step that leaves requests for the endpoint list unanswered
DISCOVERY_CUT = "discovery_cut"  # the step that aborts the watches

ENDPOINT_FAULT_KINDS = frozenset(FaultKind)
STATE_BY_FAULT = {
    FaultKind.DRAIN: EndpointState.DRAINING,
    FaultKind.REMOVE: EndpointState.DELETED,
    FaultKind.JOIN: EndpointState.SERVING,
}
"""The state that discovery announces for an endpoint with this fault."""


class FaultInjector:
    """Carries out the steps of an incident on endpoints and discovery servers.

    Args:
        incident: Whose steps.
        receivers: The model of the endpoints.
        listeners: The endpoints' listeners by name.
        entries: The endpoints' entries in the endpoint list, in service, by name.
        discovery_servers: Those of all nodes.
        calls: What answers the calls that a fault ends.
        record_writer: Where outages are recorded.
    """

    def __init__(
        self,
        incident: Incident,
        receivers: ReceiverModel,
        listeners: Mapping[str, EndpointListener],
        entries: Mapping[str, EndpointEntry],
        discovery_servers: Sequence[DiscoveryServer],
        calls: CallDispatcher,
        record_writer: RecordWriter,
    ) -> None:
        self._incident = incident
        self._receivers = receivers
        self._listeners = listeners
        self._entries = entries
        self._discovery_servers = discovery_servers
        self._calls = calls
        self._record_writer = record_writer

    def schedule_steps(self, started_at: float) -> None:
        """Let each step happen at its moment of an incident that starts at `started_at`, in ms."""
        loop = asyncio.get_running_loop()
        for step in self._incident.step:
            delay_ms = max(0.0, started_at + step.at_ms - monotonic_ms())
            loop.call_later(delay_ms / 1000.0, self._run_step, step)

    def _run_step(self, step: Step) -> None:
        if step.what == DISCOVERY_SILENT:
            for discovery in self._discovery_servers:
                discovery.silence_for(step.for_ms)
        elif step.what == DISCOVERY_CUT:
            for discovery in self._discovery_servers:
                discovery.drop_watches()
        elif step.what in ENDPOINT_FAULT_KINDS:
            self._inject(_fault_of(step), self._incident.targets(step.on))
        # Other steps are those of the load or of the nodes.

    def _inject(self, fault: Fault, names: list[str]) -> None:
        """Apply a fault to these endpoints, and heal them after its duration if it has one."""
        self._apply(monotonic_ms(), fault, names)
        if fault.duration_ms and fault.kind not in SELF_ENDING_FAULTS:
            heal = replace(fault, kind=FaultKind.HEAL)
            asyncio.get_running_loop().call_later(
                fault.duration_ms / 1000.0, lambda: self._apply(monotonic_ms(), heal, names)
            )

    def _apply(self, now: float, fault: Fault, names: list[str]) -> None:
        """Apply a fault in the model, at the sockets and in discovery."""
        listeners = [self._listeners[name] for name in names]
        if fault.kind in SOCKET_FAULTS:
            for listener in listeners:
                listener.active_faults[fault.kind] = fault.share
            return
        endpoints = [listener.endpoint for listener in listeners]
        destinations = dict.fromkeys(endpoint.destination for endpoint in endpoints)
        up_before = [destination for destination in destinations if not destination.is_down()]
        drained_before = [listener for listener in listeners if listener.endpoint.is_draining]
        self._calls.send_answers(self._receivers.apply(now, fault, endpoints))
        for listener in listeners:
            _apply_to_sockets(fault.kind, listener)
        if fault.kind in STATE_BY_FAULT:
            self._announce(listeners, STATE_BY_FAULT[fault.kind])
        elif fault.kind == FaultKind.HEAL and drained_before:
            self._announce(drained_before, EndpointState.SERVING)
        for destination in up_before:
            if destination.is_down():
                self._record_writer.write(
                    DestinationChanged(
                        now, destination.number, DestinationChange.DOWN, destination.capacity_per_ms()
                    )
                )
        self._calls.reset_timer()

    def _announce(self, listeners: list[EndpointListener], state: EndpointState) -> None:
        """Let each discovery server learn the endpoints' state, after its delay."""
        loop = asyncio.get_running_loop()
        changed_entries = [
            replace(self._entries[listener.endpoint.name], state=state) for listener in listeners
        ]
        for discovery in self._discovery_servers:
            loop.call_later(discovery.delay_ms / 1000.0, discovery.apply_changes, changed_entries)


def _fault_of(step: Step) -> Fault:
    return Fault(
        kind=FaultKind(step.what),
        share=step.share,
        sends_retry_after=step.wait_ms > 0.0,
        factor=step.factor,
        duration_ms=step.for_ms,
    )


def _apply_to_sockets(kind: FaultKind, listener: EndpointListener) -> None:
    if kind == FaultKind.REFUSE_CONNECTIONS:
        listener.refuse_connections()
    elif kind == FaultKind.GO_SILENT:
        listener.go_silent()
    elif kind == FaultKind.JOIN:
        listener.open()
    elif kind == FaultKind.HEAL:
        listener.active_faults.clear()
        listener.end_silence()
        listener.open()
