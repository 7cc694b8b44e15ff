"""The part of a node's configuration that the baselines and the floor program use."""

import json
import os
from dataclasses import dataclass
from typing import Any

from swiftthread.lab.outcomes import EndpointState

# The environment variable that holds the path of the configuration file.
CONFIGURATION_VARIABLE = "LB_CONFIG"


@dataclass(frozen=True, slots=True)
class StreamProfile:
    """The properties of a stream type that determine whether an event may be retried.

    Attributes:
        effect: The effect of a repeated delivery: retryable, dedup or fragile.
        group: The group of endpoints within which duplicates are recognised: all, or those of a zone.
        window_ms: The deduplication window.
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
    """The configuration with which a node is started.

    Attributes:
        listen: The address on which the node listens, as host:port.
        discovery: The address of the node's discovery server, as host:port.
        state_folder: The folder in which the node may store files.
        seed: The random seed.
        endpoints: The initial endpoint list.
        profiles: The stream types by name.
        max_attempts: The largest number of attempts for one event.
        max_pending: The largest number of pending events.
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
    """Split an address in the form host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse_endpoint_list(endpoint_list: dict[str, Any]) -> list[ListedEndpoint]:
    """Return the entries of a list document that holds the whole endpoint list."""
    endpoints = []
    for entry in endpoint_list["servers"]:
        host, port = split_address(entry["addr"])
        state = EndpointState(entry["state"])
        endpoints.append(ListedEndpoint(entry["id"], entry["cell"], entry["zone"], host, port, state))
    return endpoints


def read_configuration() -> NodeConfiguration:
    """Read the configuration file that the environment variable `LB_CONFIG` names.

    Raises:
        KeyError: The environment variable is not set, or the file lacks a key.
        OSError: The file cannot be read.
        json.JSONDecodeError: The file is not JSON.
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
        profiles={profile["Name"]: _parse_profile(profile) for profile in settings["Profiles"]},
        max_attempts=settings["Permissions"]["TryLimit"],
        max_pending=settings["Permissions"]["MaxOpen"],
    )


def _parse_profile(profile: dict[str, Any]) -> StreamProfile:
    return StreamProfile(profile["Effect"], profile["Group"], 1000.0 * profile.get("Window", 0.0))
