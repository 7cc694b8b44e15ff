"""The part of a node's start object that the baselines and the floor program read."""

import json
import os
from dataclasses import dataclass
from typing import Any

from swiftthread.lab.outcomes import EndpointState

CONFIGURATION_VARIABLE = "LB_CONFIG"  # the environment variable that names the file


@dataclass(frozen=True, slots=True)
class StreamProfile:
    """A stream type, as far as it decides about retries.

    Attributes:
        effect: What a repeated execution does: retryable, dedup or fragile.
        group: Over which endpoints duplicates are recognized: all, or those of a zone.
        window_ms: For how long they are.
    """

    effect: str
    group: str
    window_ms: float


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An entry of the endpoint list."""

    id: str
    destination: int
    zone: str
    host: str
    port: int
    state: EndpointState


@dataclass(frozen=True, slots=True)
class NodeConfiguration:
    """What a node is told at its start.

    Attributes:
        listen: Where it listens, as host:port.
        discovery: The address of its discovery server.
        state_folder: Where it may keep files.
        seed: Of all its chance.
        endpoints: The endpoint list at first.
        profiles: All stream types by name.
        max_attempts: Attempts that one event may take.
        max_pending: Events that it may hold.
    """

    listen: str
    discovery: str
    state_folder: str
    seed: str
    endpoints: list[ListedEndpoint]
    profiles: dict[str, StreamProfile]
    max_attempts: int
    max_pending: int


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse_endpoint_list(endpoint_list: dict[str, Any]) -> list[ListedEndpoint]:
    """Return the entries of a full endpoint list as discovery sends it."""
    endpoints = []
    for row in endpoint_list["servers"]:
        host, port = split_address(row["addr"])
        state = EndpointState(row["state"])
        endpoints.append(ListedEndpoint(row["id"], row["cell"], row["zone"], host, port, state))
    return endpoints


def read_configuration() -> NodeConfiguration:
    """Return the configuration that the environment names.

    Raises:
        KeyError: The environment names none, or it lacks a field.
        OSError: It cannot be read.
        json.JSONDecodeError: It is no JSON.
    """
    with open(os.environ[CONFIGURATION_VARIABLE], encoding="utf-8") as source:
        fields = json.load(source)
    settings = fields["settings"]
    return NodeConfiguration(
        listen=fields["listen"],
        discovery=fields["discovery"],
        state_folder=fields["state"],
        seed=fields["seed"],
        endpoints=parse_endpoint_list(fields["known"]),
        profiles={row["Name"]: _parse_profile(row) for row in settings["Profiles"]},
        max_attempts=settings["Permissions"]["TryLimit"],
        max_pending=settings["Permissions"]["MaxOpen"],
    )


def _parse_profile(row: dict[str, Any]) -> StreamProfile:
    return StreamProfile(row["Effect"], row["Group"], 1000.0 * row.get("Window", 0.0))
