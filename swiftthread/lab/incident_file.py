"""Reads and validates incident files in TOML. Each error is one line with the file and the key."""

import re
from collections.abc import Iterator
from importlib import resources
from pathlib import Path

import msgspec

from swiftthread.lab.crowd import RULE_ABIDING_KINDS
from swiftthread.lab.faults import FaultKind
from swiftthread.lab.incident import (
    DiscoveryFault,
    Effect,
    Incident,
    LoadChange,
    NodeFault,
    Step,
    Stream,
)

INCIDENT_FOLDER = resources.files("swiftthread.lab") / "incidents"

ENDPOINT_FAULTS = frozenset(FaultKind)
NODE_FAULTS = frozenset(NodeFault)
KNOWN_STEPS = frozenset[str]().union(FaultKind, NodeFault, DiscoveryFault, LoadChange)
# Steps that require a `for_ms`, because only its expiry ends them.
STEPS_WITH_DURATION = frozenset(
    {
        FaultKind.DESTINATION_UNAVAILABLE,
        FaultKind.CONNECTIONS_REJECTED,
        FaultKind.PAUSE,
        NodeFault.FREEZE,
        NodeFault.MISBEHAVING_CLIENTS,
        LoadChange.BURST,
        DiscoveryFault.STOP_RESPONDING,
    }
)


class IncidentError(Exception):
    """An incident file is unreadable or invalid. Each line names the file, the key and what was expected."""


def parse(text: str | bytes, name: str) -> Incident:
    """Parse an incident from TOML.

    Args:
        text: The contents of the file.
        name: The file's name for error messages.

    Raises:
        IncidentError: The text is not TOML, has an invalid key (the text names the first one), or has keys
            that contradict each other (the text names all of them).
    """
    try:
        incident = msgspec.toml.decode(text, type=Incident)
    except msgspec.ValidationError as error:
        raise IncidentError(f"{name}: {_describe_validation_error(error)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise IncidentError(f"{name}: invalid TOML: {error}") from None
    errors = list(_validation_errors(incident))
    if errors:
        raise IncidentError("\n".join(f"{name}: {error}" for error in errors))
    return incident


def load(path: str) -> Incident:
    """Load a shipped incident by its name, or any other incident by its path.

    Raises:
        IncidentError: The file cannot be read, or the incident is invalid.
    """
    shipped = INCIDENT_FOLDER / f"{path}.toml"
    try:
        if shipped.is_file():
            return parse(shipped.read_bytes(), f"{path}.toml")
        return parse(Path(path).read_bytes(), str(path))
    except OSError as error:
        reason = (error.strerror or "unreadable").lower()
        raise IncidentError(f"{path}: {reason}; shipped incidents: {', '.join(shipped_names())}") from None


def load_json(path: Path) -> Incident:
    """Load the incident that a run has stored as JSON in its folder."""
    return msgspec.json.decode(path.read_bytes(), type=Incident)


def shipped_names() -> list[str]:
    """Return the names of the shipped incidents, sorted."""
    return sorted(
        entry.name.removesuffix(".toml")
        for entry in INCIDENT_FOLDER.iterdir()
        if entry.name.endswith(".toml")
    )


def _describe_validation_error(error: msgspec.ValidationError) -> str:
    """Return msgspec's message, preceded by the key."""
    message, _, path = str(error).partition(" - at `$")
    path = path.rstrip("`").lstrip(".") or "top"
    field_match = re.search(r"missing required field `(\w+)`|unknown field `(\w+)`", message)
    if field_match:
        path = f"{path}.{field_match[1] or field_match[2]}".removeprefix("top.")
    return f"key {path}: {message[0].lower() + message[1:]}"


def _validation_errors(incident: Incident) -> Iterator[str]:
    """Yield an error for each key that contradicts another, preceded by the key."""
    numbers = [
        destination.number + index
        for destination in incident.destination
        for index in range(destination.count)
    ]
    if len(set(numbers)) != len(numbers):
        yield "key destination.number: two destinations have the same number"
    for index, stream in enumerate(incident.stream):
        yield from _stream_errors(f"key stream[{index}]", stream)
    last_at_ms = 0.0
    for index, step in enumerate(incident.step):
        yield from _step_errors(f"key step[{index}]", incident, step, last_at_ms)
        last_at_ms = max(last_at_ms, step.at_ms)


def _stream_errors(key: str, stream: Stream) -> Iterator[str]:
    if stream.slo_ms > stream.max_age_ms:
        yield f"{key}.slo_ms: exceeds max_age_ms"
    if stream.effect == Effect.DEDUPLICATED and not stream.window_ms:
        yield f"{key}.window_ms: required for a deduplicated stream type"


def _step_errors(key: str, incident: Incident, step: Step, last_at_ms: float) -> Iterator[str]:
    if step.at_ms < last_at_ms:
        yield f"{key}.at_ms: {step.at_ms:g} is earlier than a preceding step ({last_at_ms:g})"
    if step.at_ms + step.for_ms > 1000.0 * incident.lasts_s:
        yield f"{key}.at_ms: the step ends after lasts_s"
    if step.what not in KNOWN_STEPS:
        yield f"{key}.what: {step.what!r} is not one of {', '.join(sorted(KNOWN_STEPS))}"
    elif step.what in ENDPOINT_FAULTS and not incident.target_endpoints(step.on):
        yield f"{key}.on: {step.on!r} matches no declared endpoint"
    elif step.what in NODE_FAULTS and step.on not in [f"node:{n}" for n in range(incident.fleet.nodes)]:
        yield f"{key}.on: {step.on!r} is not a node; expected node:0 to node:{incident.fleet.nodes - 1}"
    if step.what == NodeFault.MISBEHAVING_CLIENTS and step.crowd not in RULE_ABIDING_KINDS:
        yield f"{key}.crowd: {step.crowd!r} is not one of {', '.join(RULE_ABIDING_KINDS)}"
    if step.what in STEPS_WITH_DURATION and not step.for_ms:
        yield f"{key}.for_ms: {step.what} requires a duration"
