"""The incident format: receivers, load, a fleet of nodes and a timeline of faults, as tables of a TOML file.

The fields of these classes are the keys of the file, with their defaults. Keys that end in `_ms` are in
milliseconds, keys that end in `_s` in seconds.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import Annotated, Literal, NamedTuple

import msgspec

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
NonNegativeCount = Annotated[int, msgspec.Meta(ge=0)]


class NodeFault(StrEnum):
    """Steps that the runner applies to node processes."""

    KILL = "kill"
    """The process gets SIGKILL, and is started again later."""
    RESTART = "restart"
    """The process gets SIGTERM, and is started again later."""
    FREEZE = "freeze"
    """The process is suspended by SIGSTOP, and resumed by SIGCONT after `for_ms`."""
    RELOAD = "reload"
    """The process gets SIGHUP; its configuration is the same as before."""
    CROWD = "idle_clients"
    """Clients open connections that stay idle for `for_ms`, until the node closes them."""
    MISBEHAVING_CLIENTS = "crowd"
    """A number of `clients` behave as `crowd` names for `for_ms`; see `CrowdKind`."""


class DiscoveryFault(StrEnum):
    """Steps that the emulator applies to discovery."""

    STOP_RESPONDING = "discovery_silent"
    """Requests for the endpoint list get no response, and no changes are sent, for `for_ms`."""
    ABORT_WATCHES = "discovery_cut"
    """The connections of all discovery watches are aborted."""
    REPEAT_RESPONSES = "discovery_copies"
    """A share of the lines of watches and of the responses to notifications is written a second time."""
    LATE_LINES = "discovery_late"
    """A share of the changes is sent after a random delay, so that later ones may come before them."""
    NOTIFICATIONS_FAIL = "notices_fail"
    """A share of the posts of notifications gets a 500 and is not recorded, but never two in a row."""


class LoadChange(StrEnum):
    """Steps that change the load."""

    BURST = "burst"
    """The arrival rate of an open loop is multiplied by `factor` for `for_ms`."""


class Effect(StrEnum):
    """The effect of delivering an event more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationGroup(StrEnum):
    """The group of endpoints within which a repeated delivery of an event is recognised."""

    ALL = "all"
    ZONE = "zone"


class StrictTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table that rejects unknown keys."""


class Stream(StrictTable, frozen=True):
    """A stream type: the effect, latency objective and utility of its events.

    Attributes:
        name: The name of the stream type.
        effect: The effect of a repeated delivery.
        slo_ms: The latency objective.
        max_age_ms: The max age of an event.
        utility: The utility of an event that is acked within `slo_ms`.
        late_utility: The fraction of the utility that an ack at `max_age_ms` still has. It decreases linearly
            between the two times.
        group: The group of endpoints within which repeated deliveries are recognised.
        window_ms: The deduplication window.
        in_order: Whether events with the same ordering key must be sent one at a time and in order.
        share: The share of the load, relative to the other stream types.
    """

    name: str
    effect: Effect = Effect.IDEMPOTENT
    slo_ms: PositiveFloat = 1500.0
    max_age_ms: PositiveFloat = 5000.0
    utility: PositiveFloat = 1.0
    late_utility: Fraction = 0.0
    group: DeduplicationGroup = DeduplicationGroup.ALL
    window_ms: NonNegativeFloat = 0.0
    in_order: bool = False
    share: PositiveFloat = 1.0


class Destination(StrictTable, frozen=True):
    """`count` equal destinations, numbered from `number`. Their endpoints are assigned to the zones in turn.

    Attributes:
        number: The number of the first destination.
        count: The number of destinations.
        endpoints: Endpoints of each destination.
        spares: Additional endpoints of each destination, which are listed only after a `join` step.
        workers: Calls that an endpoint executes concurrently.
        service_ms: The mean service time of one event.
        service: The distribution of service times.
        cv: The coefficient of variation of lognormal service times. Other distributions ignore it.
        queue: Calls that can wait for a worker of an endpoint.
        connections: Connections that an endpoint can hold open.
        rate_per_s: The rate limit of the destination in calls per second. 0 means no limit.
        listed: Whether the endpoint list contains the rate limit.
        span_ms: The length of the rate limit's windows. 0 means that calls are paced instead.
        burst: Calls that a paced rate limit admits at once.
        refusals_use: Whether rejected calls count against the rate limit.
        tells_wait: Whether the response to a rejected call has a Retry-After.
        share: The share of the load, relative to the other destinations.
    """

    number: Annotated[int, msgspec.Meta(ge=0, le=60000)]
    count: PositiveCount = 1
    endpoints: PositiveCount = 2
    spares: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    workers: PositiveCount = 8
    service_ms: PositiveFloat = 10.0
    service: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: PositiveFloat = 1.0
    queue: NonNegativeCount = 64
    connections: PositiveCount = 512
    rate_per_s: NonNegativeFloat = 0.0
    listed: bool = True
    span_ms: NonNegativeFloat = 0.0
    burst: PositiveCount = 4
    refusals_use: bool = False
    tells_wait: bool = True
    share: PositiveFloat = 1.0


class Load(StrictTable, frozen=True):
    """The clients: open-loop arrivals or closed-loop clients, and how they resubmit.

    Attributes:
        kind: `open` for arrivals on a schedule, `closed` for clients that submit one event at a time.
        rate_per_s: The arrival rate of an open loop.
        clients: The number of clients of a closed loop.
        body_bytes: The size of an event's body.
        come_back: When clients resubmit an event that was not accepted or was rejected later: after the
            Retry-After (`as_told`), without a delay (`at_once`), or `never`.
        skew: The exponent of the Zipf distribution of events over destinations. 0 means that
            only the destinations' `share` weights them.
        subjects: The number of ordering keys for each destination.
        patience_ms: The time that a client waits for the response to a submission.
        processes: The number of client processes.
    """

    kind: Literal["open", "closed"] = "open"
    rate_per_s: PositiveFloat = 100.0
    clients: PositiveCount = 8
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=65536)] = 200
    come_back: Literal["as_told", "at_once", "never"] = "as_told"
    skew: NonNegativeFloat = 0.0
    subjects: PositiveCount = 50
    patience_ms: PositiveFloat = 400.0
    processes: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1


class Fleet(StrictTable, frozen=True):
    """The nodes and their limits, each for one node.

    Attributes:
        nodes: The number of nodes.
        calls_out: The largest number of calls in flight.
        room: The largest number of pending events.
        memory_mb: The memory limit.
        sockets: The limit on open sockets.
        disk_mb: The disk space limit.
        most_sends: The largest number of attempts for one event.
        probes: Whether health checks are permitted.
        batch: The largest number of events in one call.
    """

    nodes: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    calls_out: PositiveCount = 32
    room: PositiveCount = 2000
    memory_mb: PositiveFloat = 192.0
    sockets: PositiveCount = 1024
    disk_mb: PositiveFloat = 3.0
    most_sends: PositiveCount = 8
    probes: bool = True
    batch: PositiveCount = 1


class Rules(StrictTable, frozen=True):
    """Parameters of the rules that nodes receive in their settings and that the referee judges by.

    Attributes:
        fall_multiple: The load that overloads a destination during its warm-up, as a multiple of its capacity
            at that time.
        fall_ms: The window over which that load is counted.
        cold_from: The fraction of its capacity that a destination has at the start of its warm-up.
        warm_up_ms: The duration of the warm-up.
        grace_ms: The time for which calls may still be sent to an endpoint after discovery has announced that
            it is draining or removed.
        key_rest_ms: The pause of an ordering key after an attempt that may have run.
        list_delay_ms: The mean delay with which a node's discovery server learns of changes. Nodes do not
            receive it.
    """

    fall_multiple: PositiveFloat = 2.0
    fall_ms: PositiveFloat = 2000.0
    cold_from: Fraction = 0.2
    warm_up_ms: PositiveFloat = 5000.0
    grace_ms: NonNegativeFloat = 1000.0
    key_rest_ms: NonNegativeFloat = 300.0
    list_delay_ms: NonNegativeFloat = 500.0


class Step(StrictTable, frozen=True):
    """One step of the timeline: a fault or another change.

    Attributes:
        at_ms: When the step is applied, in ms since the start of the load.
        what: The kind of step: a value of `FaultKind`, `NodeFault`, `DiscoveryFault` or `LoadChange`.
        on: What the step applies to: `node:NUMBER` for a `NodeFault`, endpoints as described at
            `Incident.target_endpoints` for an `FaultKind`.
        for_ms: The duration of the step; 0 means that an endpoint's fault lasts until it is healed. For
            `kill` and `restart`, the time between the node's exit and its next start; 0 means the default.
        share: The share of calls or connections that are affected.
        wait_ms: If it is not 0, the calls that a `shut` step rejects get a Retry-After with the remaining
            duration of the step. For steps with a random delay it is the longest one. The value is not used
            otherwise.
        factor: The factor that service times, the rate limit or the arrival rate are multiplied by.
        crowd: What the clients of a `crowd` step do: one of `RULE_ABIDING_KINDS` of `lab/crowd.py`.
        clients: The number of clients of a `crowd` step.
    """

    at_ms: NonNegativeFloat
    what: str
    on: str = ""
    for_ms: NonNegativeFloat = 0.0
    share: Fraction = 1.0
    wait_ms: NonNegativeFloat = 0.0
    factor: PositiveFloat = 1.0
    crowd: str = ""
    clients: PositiveCount = 100


class EndpointDeclaration(NamedTuple):
    """An endpoint of an incident.

    Attributes:
        name: The endpoint's name, `d<destination>-<index>`.
        destination: The number of the endpoint's destination.
        destination_table: The table that declares the destination.
        zone: The endpoint's zone.
        is_spare: Whether the endpoint is listed only after a `join` step.
    """

    name: str
    destination: int
    destination_table: Destination
    zone: str
    is_spare: bool


class Incident(StrictTable, frozen=True):
    """The contents of an incident file.

    Attributes:
        format: The version of the file format.
        title: A title of one line.
        sees: What a reader of the report should see, as prose.
        stream: The stream types.
        destination: The destinations.
        lasts_s: The duration of the load.
        drain_s: The time after the load in which nodes finish the events that are still pending.
        seed: The default random seed of a run.
        halls: The names of the zones.
        load: The clients.
        fleet: The nodes.
        rules: The parameters of the rules.
        step: The steps of the timeline, in order of time.
    """

    format: Literal[1]
    title: str
    sees: str
    stream: Annotated[list[Stream], msgspec.Meta(min_length=1)]
    destination: Annotated[list[Destination], msgspec.Meta(min_length=1)]
    lasts_s: PositiveFloat = 20.0
    drain_s: PositiveFloat = 8.0
    seed: int = 1
    halls: Annotated[list[str], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["east", "west"]
    )
    load: Load = Load()
    fleet: Fleet = Fleet()
    rules: Rules = Rules()
    step: list[Step] = []

    @property
    def duration_s(self) -> float:
        """The time from the start of the load to the end of the run, in seconds."""
        return self.lasts_s + self.drain_s

    def endpoints(self) -> Iterator[EndpointDeclaration]:
        """Yield all endpoints, spares included, in the order in which their names are assigned."""
        for destination_table in self.destination:
            for number in range(destination_table.number, destination_table.number + destination_table.count):
                for index in range(destination_table.endpoints + destination_table.spares):
                    yield EndpointDeclaration(
                        name=f"d{number}-{index}",
                        destination=number,
                        destination_table=destination_table,
                        zone=self.halls[index % len(self.halls)],
                        is_spare=index >= destination_table.endpoints,
                    )

    def target_endpoints(self, on: str) -> list[str]:
        """Return the names of the endpoints that a step applies to.

        Args:
            on: The step's `on`: `endpoint:NAME`, `dest:NUMBER`, `hall:ZONE`, `spares:NUMBER` or `all`. Only
                `endpoint` and `spares` include spare endpoints.
        """
        kind, _, value = on.partition(":")
        return [endpoint.name for endpoint in self.endpoints() if _is_target(endpoint, on, kind, value)]


def _is_target(endpoint: EndpointDeclaration, on: str, kind: str, value: str) -> bool:
    match kind:
        case "endpoint":
            return endpoint.name == value
        case "spares":
            return endpoint.is_spare and str(endpoint.destination) == value
        case "dest":
            return not endpoint.is_spare and str(endpoint.destination) == value
        case "hall":
            return not endpoint.is_spare and endpoint.zone == value
    return not endpoint.is_spare and on == "all"
