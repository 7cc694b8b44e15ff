"""Incidents as files: TOML, read through msgspec. Every fault is one line with the file and the key."""

import re
from importlib import resources
from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Some = Annotated[float, msgspec.Meta(ge=0)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Many = Annotated[int, msgspec.Meta(ge=1, le=100_000)]

# What a step may be, by whom it is carried out.
AT_ENDPOINTS = {
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
AT_NODES = {"kill", "restart", "freeze"}
AT_DISCOVERY = {"discovery_silent", "discovery_cut"}
AT_LOAD = {"burst"}
LASTING = {
    "shut",
    "pause",
    "freeze",
    "burst",
    "discovery_silent",
}  # these need for_ms: nothing else ends them


class Faulty(Exception):
    """A script that cannot be used; the text says file, key and what was expected."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class Stream(Strict, frozen=True):
    name: str
    effect: Literal["idempotent", "deduplicated", "non-idempotent"] = "idempotent"
    slo_ms: Positive = 1500.0
    max_age_ms: Positive = 5000.0
    utility: Positive = 1.0
    late_utility: Part = 0.0
    group: Literal["all", "zone"] = "all"
    window_ms: Some = 0.0
    in_order: bool = False
    share: Positive = 1.0


class Destination(Strict, frozen=True):
    """`count` equal destinations, numbered from `number` on, their endpoints dealt to the halls in turn."""

    number: Annotated[int, msgspec.Meta(ge=0, le=60000)]
    count: Many = 1
    endpoints: Many = 2
    spares: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    workers: Many = 8
    service_ms: Positive = 10.0
    service: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: Positive = 1.0
    queue: Annotated[int, msgspec.Meta(ge=0)] = 64
    connections: Many = 512
    rate_per_s: Some = 0.0
    listed: bool = True
    span_ms: Some = 0.0
    burst: Many = 4
    refusals_use: bool = False
    tells_wait: bool = True
    share: Positive = 1.0


class Load(Strict, frozen=True):
    kind: Literal["open", "closed"] = "open"
    rate_per_s: Positive = 100.0
    clients: Many = 8
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=65536)] = 200
    come_back: Literal["as_told", "at_once", "never"] = "as_told"
    skew: Some = 0.0
    subjects: Many = 50
    patience_ms: Positive = 400.0
    processes: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1


class Fleet(Strict, frozen=True):
    nodes: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    calls_out: Many = 32
    room: Many = 2000
    memory_mb: Positive = 192.0
    sockets: Many = 1024
    disk_mb: Positive = 3.0
    most_sends: Many = 8
    probes: bool = True
    batch: Many = 1


class Rules(Strict, frozen=True):
    fall_multiple: Positive = 2.0
    fall_ms: Positive = 2000.0
    cold_from: Part = 0.2
    warm_up_ms: Positive = 5000.0
    grace_ms: Some = 1000.0
    key_rest_ms: Some = 300.0
    list_delay_ms: Some = 500.0


class Step(Strict, frozen=True):
    at_ms: Some
    what: str
    on: str = ""
    for_ms: Some = 0.0
    share: Part = 1.0
    wait_ms: Some = 0.0
    factor: Positive = 1.0


class Script(Strict, frozen=True):
    format: Literal[1]
    title: str
    sees: str
    stream: Annotated[list[Stream], msgspec.Meta(min_length=1)]
    destination: Annotated[list[Destination], msgspec.Meta(min_length=1)]
    lasts_s: Positive = 20.0
    drain_s: Positive = 8.0
    seed: int = 1
    halls: Annotated[list[str], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["east", "west"]
    )
    load: Load = Load()
    fleet: Fleet = Fleet()
    rules: Rules = Rules()
    step: list[Step] = []

    def endpoints(self):
        """(name, destination's number, its table, hall, is a spare) of every endpoint, as names are dealt."""
        for table in self.destination:
            for number in range(table.number, table.number + table.count):
                for at in range(table.endpoints + table.spares):
                    yield (
                        f"d{number}-{at}",
                        number,
                        table,
                        self.halls[at % len(self.halls)],
                        at >= table.endpoints,
                    )

    def aimed(self, on):
        """Names of the endpoints that `on` means: an endpoint, a destination, a hall or the spares."""
        sort, _, name = on.partition(":")
        if sort == "spares":
            return [row[0] for row in self.endpoints() if str(row[1]) == name and row[4]]
        rows = [row for row in self.endpoints() if not row[4] or sort == "endpoint"]
        match = {"endpoint": 0, "dest": 1, "hall": 3}.get(sort)
        if match is None:
            return [row[0] for row in rows] if on == "all" else []
        return [row[0] for row in rows if str(row[match]) == name]


def _worked_out(fault):
    """Msgspec's message with the key in front."""
    text, _, path = str(fault).partition(" - at `$")
    path = path.rstrip("`").lstrip(".") or "top"
    missing = re.search(r"missing required field `(\w+)`|unknown field `(\w+)`", text)
    if missing:
        path = f"{path}.{missing[1] or missing[2]}".removeprefix("top.")
    return f"key {path}: {text[0].lower() + text[1:]}"


def parse(text, name):
    """A checked `Script`; `Faulty` says everything that is wrong beyond the first unreadable key."""
    try:
        script = msgspec.toml.decode(text, type=Script)
    except msgspec.ValidationError as fault:
        raise Faulty(f"{name}: {_worked_out(fault)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise Faulty(f"{name}: no TOML: {fault}") from None
    faults = list(_faults(script))
    if faults:
        raise Faulty("\n".join(f"{name}: {fault}" for fault in faults))
    return script


def _faults(script):
    numbers = [row.number + at for row in script.destination for at in range(row.count)]
    if len(set(numbers)) != len(numbers):
        yield "key destination.number: a number is given twice"
    for at, stream in enumerate(script.stream):
        if stream.slo_ms > stream.max_age_ms:
            yield f"key stream[{at}].slo_ms: over its max_age_ms"
        if stream.effect == "deduplicated" and not stream.window_ms:
            yield f"key stream[{at}].window_ms: a deduplicated stream type needs one"
    known, last = AT_ENDPOINTS | AT_NODES | AT_DISCOVERY | AT_LOAD, 0.0
    for at, step in enumerate(script.step):
        key = f"key step[{at}]"
        if step.at_ms < last:
            yield f"{key}.at_ms: {step.at_ms:g} lies before the step above ({last:g})"
        last = max(last, step.at_ms)
        if step.at_ms + step.for_ms > 1000.0 * script.lasts_s:
            yield f"{key}.at_ms: it ends after lasts_s"
        if step.what not in known:
            yield f"{key}.what: {step.what!r} is none of {', '.join(sorted(known))}"
        elif step.what in AT_ENDPOINTS and not script.aimed(step.on):
            yield f"{key}.on: {step.on!r} names no endpoint that is declared"
        elif step.what in AT_NODES and step.on not in [f"node:{n}" for n in range(script.fleet.nodes)]:
            yield f"{key}.on: {step.on!r} is no node, there are node:0 to node:{script.fleet.nodes - 1}"
        if step.what in LASTING and not step.for_ms:
            yield f"{key}.for_ms: {step.what} needs one"


def load(path):
    """A script by its path, or by the name of one that is shipped."""
    shipped = resources.files("swiftthread.lab") / "incidents" / f"{path}.toml"
    try:
        if shipped.is_file():
            return parse(shipped.read_bytes(), f"{path}.toml")
        with open(path, "rb") as source:
            return parse(source.read(), str(path))
    except OSError as fault:
        raise Faulty(
            f"{path}: {fault.strerror.lower()}; the shipped ones are {', '.join(shipped_names())}"
        ) from None


def shipped_names():
    folder = resources.files("swiftthread.lab") / "incidents"
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


EFFECTS = {"idempotent": "retryable", "deduplicated": "dedup", "non-idempotent": "fragile"}


def settings_of(script, position):
    """The start object's settings, in the words of the platform, for a node of this script's fleet."""
    fleet, rules = script.fleet, script.rules
    listed = any(row.rate_per_s and row.listed for row in script.destination)
    return {
        "Balancers": fleet.nodes,
        "Position": position,
        "Kinds": ["plain"],
        "Localities": script.halls,
        "Weights": "nominal" if listed else "off",
        "Period": 0.005,
        "Discovery": "push",
        "Stats": {"Fields": [], "How": "off"},
        "Realms": [],
        "Domain": {
            "CallsOut": fleet.calls_out,
            "KindBatch": [fleet.batch],
            "RoutesApart": [False],
            "Carriage": [0.0] * len(script.halls),
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
                "Name": s.name,
                "Effect": EFFECTS[s.effect],
                "Aim": s.slo_ms / 1000.0,
                "Deadline": s.max_age_ms / 1000.0,
                "Value": s.utility,
                "LateWorth": s.late_utility,
                "Group": s.group,
                "Window": s.window_ms / 1000.0,
                "InTurn": s.in_order,
            }
            for s in script.stream
        ],
    }
