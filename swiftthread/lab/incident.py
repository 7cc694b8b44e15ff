"""An incident: receivers, load, a fleet of nodes and a timeline of faults, as tables of a TOML file.

Keys and defaults of the file are the fields here; keys that end in `_ms` are milliseconds, in `_s` seconds.
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


class EndpointFault(StrEnum):
    """Steps that the emulator applies to endpoints."""

    REFUSE = "refuse"
    VANISH = "vanish"
    ERRORS = "errors"
    RESET_AFTER = "reset_after"
    HALF_ANSWERS = "half_answers"
    SWALLOW = "swallow"
    FULL = "full"
    SHUT = "shut"
    SLOW = "slow"
    LIMIT = "limit"
    PAUSE = "pause"
    DRAIN = "drain"
    GONE = "gone"
    JOIN = "join"
    HEAL = "heal"
    RESET_BEFORE = "reset_before"
    SLOW_READ = "slow_read"
    SLOW_WRITE = "slow_write"


class NodeFault(StrEnum):
    """Steps that the runner applies to the processes of nodes."""

    KILL = "kill"
    RESTART = "restart"
    FREEZE = "freeze"


class DiscoveryFault(StrEnum):
    """Steps that the emulator applies to discovery."""

    SILENT = "discovery_silent"
    CUT = "discovery_cut"


class LoadChange(StrEnum):
    """Steps that change the load."""

    BURST = "burst"


class Effect(StrEnum):
    """What a repeated delivery of an event may do."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationGroup(StrEnum):
    """The endpoints that recognise a repeated delivery to one another."""

    ALL = "all"
    ZONE = "zone"


class StrictTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table that rejects unknown keys."""


class Stream(StrictTable, frozen=True):
    """A stream type: the effect, latency objective and utility of its events."""

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
    """`count` equal destinations, numbered from `number`; their endpoints are assigned to zones in turn."""

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
    """The clients: open-loop arrivals or closed-loop clients, and how they resubmit."""

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
    """The nodes and their limits."""

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
    """Parameters of the rules that the nodes are told of and judged by."""

    fall_multiple: PositiveFloat = 2.0
    fall_ms: PositiveFloat = 2000.0
    cold_from: Fraction = 0.2
    warm_up_ms: PositiveFloat = 5000.0
    grace_ms: NonNegativeFloat = 1000.0
    key_rest_ms: NonNegativeFloat = 300.0
    list_delay_ms: NonNegativeFloat = 500.0


class Step(StrictTable, frozen=True):
    """One step of the timeline: a fault or a change, and whom it concerns."""

    at_ms: NonNegativeFloat
    what: str
    on: str = ""
    for_ms: NonNegativeFloat = 0.0
    share: Fraction = 1.0
    wait_ms: NonNegativeFloat = 0.0
    factor: PositiveFloat = 1.0


class EndpointDeclaration(NamedTuple):
    """An endpoint of an incident.

    Attributes:
        name: Its name, `d<destination>-<index>`.
        destination: The number of its destination.
        settings: The table that declares it.
        zone: Its zone.
        is_spare: Whether it is listed only after a `join`.
    """

    name: str
    destination: int
    settings: Destination
    zone: str
    is_spare: bool


class Incident(StrictTable, frozen=True):
    """The whole file."""

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
        """Seconds from the start of the load to the end of the run."""
        return self.lasts_s + self.drain_s

    def endpoints(self) -> Iterator[EndpointDeclaration]:
        """Yield every endpoint in the order in which names are assigned."""
        for settings in self.destination:
            for number in range(settings.number, settings.number + settings.count):
                for index in range(settings.endpoints + settings.spares):
                    yield EndpointDeclaration(
                        name=f"d{number}-{index}",
                        destination=number,
                        settings=settings,
                        zone=self.halls[index % len(self.halls)],
                        is_spare=index >= settings.endpoints,
                    )

    def targets(self, on: str) -> list[str]:
        """Return the names of the endpoints that a step's `on` means.

        Args:
            on: `endpoint:NAME`, `dest:NUMBER`, `hall:ZONE`, `spares:NUMBER` or `all`. Spares belong to
                `endpoint` and `spares` alone.
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
