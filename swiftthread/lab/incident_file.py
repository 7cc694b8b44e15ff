"""Incidents as files: TOML, read through msgspec. Every fault is one line with the file and the key."""

import re
from importlib import resources
from typing import Annotated, Literal

import msgspec

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]

# What a step may be, by whom it is carried out.
ENDPOINT_FAULTS = {
    "refuse",
    "vanish",
    "errors",
    "reset_after",
    "half_answers",
    "swallow",
    "full",
    "shut",
    "slow",
    "limit",
    "pause",
    "drain",
    "gone",
    "join",
    "heal",
    "reset_before",
    "slow_read",
    "slow_write",
}
NODE_FAULTS = {"kill", "restart", "freeze"}
DISCOVERY_FAULTS = {"discovery_silent", "discovery_cut"}
LOAD_CHANGES = {"burst"}
STEPS_WITH_DURATION = {
    "shut",
    "pause",
    "freeze",
    "burst",
    "discovery_silent",
}  # these need for_ms: nothing else ends them


class IncidentError(Exception):
    """An incident that cannot be used; the text says file, key and what was expected."""


class StrictTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class Stream(StrictTable, frozen=True):
    name: str
    effect: Literal["idempotent", "deduplicated", "non-idempotent"] = "idempotent"
    slo_ms: PositiveFloat = 1500.0
    max_age_ms: PositiveFloat = 5000.0
    utility: PositiveFloat = 1.0
    late_utility: Fraction = 0.0
    group: Literal["all", "zone"] = "all"
    window_ms: NonNegativeFloat = 0.0
    in_order: bool = False
    share: PositiveFloat = 1.0


class Destination(StrictTable, frozen=True):
    """`count` equal destinations, numbered from `number` on; their endpoints go to the zones in turn."""

    number: Annotated[int, msgspec.Meta(ge=0, le=60000)]
    count: PositiveCount = 1
    endpoints: PositiveCount = 2
    spares: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    workers: PositiveCount = 8
    service_ms: PositiveFloat = 10.0
    service: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: PositiveFloat = 1.0
    queue: Annotated[int, msgspec.Meta(ge=0)] = 64
    connections: PositiveCount = 512
    rate_per_s: NonNegativeFloat = 0.0
    listed: bool = True
    span_ms: NonNegativeFloat = 0.0
    burst: PositiveCount = 4
    refusals_use: bool = False
    tells_wait: bool = True
    share: PositiveFloat = 1.0


class Load(StrictTable, frozen=True):
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
    fall_multiple: PositiveFloat = 2.0
    fall_ms: PositiveFloat = 2000.0
    cold_from: Fraction = 0.2
    warm_up_ms: PositiveFloat = 5000.0
    grace_ms: NonNegativeFloat = 1000.0
    key_rest_ms: NonNegativeFloat = 300.0
    list_delay_ms: NonNegativeFloat = 500.0


class Step(StrictTable, frozen=True):
    at_ms: NonNegativeFloat
    what: str
    on: str = ""
    for_ms: NonNegativeFloat = 0.0
    share: Fraction = 1.0
    wait_ms: NonNegativeFloat = 0.0
    factor: PositiveFloat = 1.0


class Incident(StrictTable, frozen=True):
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

    def endpoints(self):
        """(name, destination's number, its table, zone, is a spare) of every endpoint, as names are dealt."""
        for settings in self.destination:
            for number in range(settings.number, settings.number + settings.count):
                for index in range(settings.endpoints + settings.spares):
                    yield (
                        f"d{number}-{index}",
                        number,
                        settings,
                        self.halls[index % len(self.halls)],
                        index >= settings.endpoints,
                    )

    def targets(self, on):
        """Names of the endpoints that `on` means: an endpoint, a destination, a zone or the spares."""
        target_kind, _, name = on.partition(":")
        if target_kind == "spares":
            return [row[0] for row in self.endpoints() if str(row[1]) == name and row[4]]
        rows = [row for row in self.endpoints() if not row[4] or target_kind == "endpoint"]
        column = {"endpoint": 0, "dest": 1, "hall": 3}.get(target_kind)
        if column is None:
            return [row[0] for row in rows] if on == "all" else []
        return [row[0] for row in rows if str(row[column]) == name]


def _describe_validation_error(error):
    """Msgspec's message with the key in front."""
    message, _, path = str(error).partition(" - at `$")
    path = path.rstrip("`").lstrip(".") or "top"
    missing = re.search(r"missing required field `(\w+)`|unknown field `(\w+)`", message)
    if missing:
        path = f"{path}.{missing[1] or missing[2]}".removeprefix("top.")
    return f"key {path}: {message[0].lower() + message[1:]}"


def parse(text, name):
    """A checked `Incident`; `IncidentError` says everything that is wrong beyond the first unreadable key."""
    try:
        incident = msgspec.toml.decode(text, type=Incident)
    except msgspec.ValidationError as error:
        raise IncidentError(f"{name}: {_describe_validation_error(error)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise IncidentError(f"{name}: no TOML: {error}") from None
    errors = list(_validation_errors(incident))
    if errors:
        raise IncidentError("\n".join(f"{name}: {error}" for error in errors))
    return incident


def _validation_errors(incident):
    numbers = [row.number + index for row in incident.destination for index in range(row.count)]
    if len(set(numbers)) != len(numbers):
        yield "key destination.number: a number is given twice"
    for index, stream in enumerate(incident.stream):
        if stream.slo_ms > stream.max_age_ms:
            yield f"key stream[{index}].slo_ms: over its max_age_ms"
        if stream.effect == "deduplicated" and not stream.window_ms:
            yield f"key stream[{index}].window_ms: a deduplicated stream type needs one"
    known_steps, last_at_ms = ENDPOINT_FAULTS | NODE_FAULTS | DISCOVERY_FAULTS | LOAD_CHANGES, 0.0
    for index, step in enumerate(incident.step):
        key = f"key step[{index}]"
        if step.at_ms < last_at_ms:
            yield f"{key}.at_ms: {step.at_ms:g} lies before the step above ({last_at_ms:g})"
        last_at_ms = max(last_at_ms, step.at_ms)
        if step.at_ms + step.for_ms > 1000.0 * incident.lasts_s:
            yield f"{key}.at_ms: it ends after lasts_s"
        if step.what not in known_steps:
            yield f"{key}.what: {step.what!r} is none of {', '.join(sorted(known_steps))}"
        elif step.what in ENDPOINT_FAULTS and not incident.targets(step.on):
            yield f"{key}.on: {step.on!r} names no endpoint that is declared"
        elif step.what in NODE_FAULTS and step.on not in [f"node:{n}" for n in range(incident.fleet.nodes)]:
            yield f"{key}.on: {step.on!r} is no node, there are node:0 to node:{incident.fleet.nodes - 1}"
        if step.what in STEPS_WITH_DURATION and not step.for_ms:
            yield f"{key}.for_ms: {step.what} needs one"


def load(path):
    """An incident by its path, or by the name of one that is shipped."""
    shipped = resources.files("swiftthread.lab") / "incidents" / f"{path}.toml"
    try:
        if shipped.is_file():
            return parse(shipped.read_bytes(), f"{path}.toml")
        with open(path, "rb") as source:
            return parse(source.read(), str(path))
    except OSError as error:
        raise IncidentError(
            f"{path}: {error.strerror.lower()}; the shipped ones are {', '.join(shipped_names())}"
        ) from None


def shipped_names():
    folder = resources.files("swiftthread.lab") / "incidents"
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


PLATFORM_EFFECTS = {"idempotent": "retryable", "deduplicated": "dedup", "non-idempotent": "fragile"}


def settings_for(incident, position):
    """The start object's settings, in the words of the platform, for a node of this incident's fleet."""
    fleet, rules = incident.fleet, incident.rules
    listed = any(row.rate_per_s and row.listed for row in incident.destination)
    return {
        "Balancers": fleet.nodes,
        "Position": position,
        "Kinds": ["plain"],
        "Localities": incident.halls,
        "Weights": "nominal" if listed else "off",
        "Period": 0.005,
        "Discovery": "push",
        "Stats": {"Fields": [], "How": "off"},
        "Realms": [],
        "Domain": {
            "CallsOut": fleet.calls_out,
            "KindBatch": [fleet.batch],
            "RoutesApart": [False],
            "Carriage": [0.0] * len(incident.halls),
            "LosesWorth": "even",
        },
        "Obligations": {
            "FallMultiple": rules.fall_multiple,
            "ColdFrom": rules.cold_from,
            "WarmUp": rules.warm_up_ms / 1000.0,
            "KeyRest": rules.key_rest_ms / 1000.0,
            "StopSendingWithin": rules.grace_ms / 1000.0,
            "Fall": rules.fall_ms / 1000.0,
        },
        "Permissions": {
            "TryLimit": fleet.most_sends,
            "MaxOpen": fleet.room,
            "Keepalive": 5.0,
            "ConnectTimeout": 0.5,
            "Probes": fleet.probes,
            "RetryAfter": True,
            "MaxRetryAfter": 3.0,
        },
        "Profiles": [
            {
                "Name": stream.name,
                "Effect": PLATFORM_EFFECTS[stream.effect],
                "Aim": stream.slo_ms / 1000.0,
                "Deadline": stream.max_age_ms / 1000.0,
                "Value": stream.utility,
                "LateWorth": stream.late_utility,
                "Group": stream.group,
                "Window": stream.window_ms / 1000.0,
                "InTurn": stream.in_order,
            }
            for stream in incident.stream
        ],
    }
