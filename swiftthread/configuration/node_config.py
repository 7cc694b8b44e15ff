"""Configuration of a node: the JSON file that the variable LB_CONFIG names, read and checked once."""

import contextlib
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from swiftthread.configuration.settings_reader import (
    MalformedInput,
    SettingNumbers,
    find_settings_warnings,
    read_report_fields,
    read_setting_numbers,
    read_settings,
)
from swiftthread.network.address import parse_address
from swiftthread.routing.settings import Settings

# Keys that are read only at startup, because the pending events and the attempts in flight depend on them.
START_ONLY_KEYS = ("listen", "state", "limits", "settings")
# A node is expected to know a change this long after discovery had it and could be reached.
MAX_LIST_AGE_MS = 6000.0
# How long a request for the list may take until its response is applied.
LIST_RESPONSE_MS = 1500.0


class ConfigurationError(MalformedInput):
    """The configuration of a node cannot be used."""

    def __init__(self, reason: str, path: str | None = None, key: str | None = None) -> None:
        super().__init__(reason if path is None else f"the configuration {path}: {reason}")
        self.path = path
        """Path of the configuration file; None if LB_CONFIG names none."""
        self.key = key
        """Key of the document whose value is wrong or missing; None if the whole document cannot be used."""


@dataclass(frozen=True, kw_only=True)
class NodeConfig:
    """Configuration of one node. Addresses are (host, port)."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state_directory: str
    seed: int
    limits: Mapping[str, Any]
    """Resource limits of the machine: `sockets`, `disk_mb`, `memory_mb`."""
    initial_list: dict[str, Any] | None
    """Endpoint list to start with, in the format of discovery; None if the watch has to deliver the first."""
    settings: Settings
    setting_numbers: SettingNumbers
    report_fields: Sequence[str]
    """Names of the load report's fields."""
    settings_warnings: Sequence[str]
    """A warning for each setting whose value is unclear and was interpreted conservatively."""
    start_only_values: Mapping[str, Any]
    """Values of `START_ONLY_KEYS` in the document; None for a missing key."""


def read_node_config(environ: Mapping[str, str], is_reload: bool = False) -> NodeConfig:
    """Read the configuration file that LB_CONFIG names.

    Args:
        environ: Environment variables. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_STATE override the document.
        is_reload: Whether the node is running already; LB_DISCOVERY is then ignored.

    Raises:
        ConfigurationError: The configuration cannot be used.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("the environment variable LB_CONFIG does not name a configuration file")
    document = _read_document(path)
    with _converted_errors(path, "name"):
        name = environ.get("LB_NAME") or document["name"]
    with _converted_errors(path, "listen"):
        listen = parse_address(environ.get("LB_LISTEN") or document["listen"])
    with _converted_errors(path, "discovery"):
        # LB_DISCOVERY applies only at startup, so a reload takes the address of discovery from the document.
        discovery_override = None if is_reload else environ.get("LB_DISCOVERY")
        discovery = parse_address(discovery_override or document["discovery"])
    with _converted_errors(path, "state"):
        state_directory = environ.get("LB_STATE") or document["state"]
    with _converted_errors(path, "seed"):
        seed = int(str(document["seed"]), 16)
    with _converted_errors(path, "settings"):
        settings_document = document["settings"]
        settings = _limit_list_age(read_settings(settings_document))
        report_fields = read_report_fields(settings_document)
        settings_warnings = list(find_settings_warnings(settings_document))
        setting_numbers = read_setting_numbers(settings_document)
    initial_list = document.get("known")
    return NodeConfig(
        name=name,
        listen=listen,
        discovery=discovery,
        state_directory=state_directory,
        seed=seed,
        limits=document.get("limits") or {},
        initial_list=initial_list if isinstance(initial_list, dict) else None,
        settings=settings,
        setting_numbers=setting_numbers,
        report_fields=report_fields,
        settings_warnings=settings_warnings,
        start_only_values={key: document.get(key) for key in START_ONLY_KEYS},
    )


def _limit_list_age(settings: Settings) -> Settings:
    # On sockets a change counts as told MAX_LIST_AGE_MS after discovery can be reached, whatever the settings
    # say: a failed request for the list is repeated early enough for its response.
    max_pause_ms = MAX_LIST_AGE_MS - LIST_RESPONSE_MS
    return replace(settings, max_list_request_pause_ms=min(settings.max_list_request_pause_ms, max_pause_ms))


def _read_document(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as source:
            document = json.load(source)
    except OSError as error:
        raise ConfigurationError(f"it cannot be read: {error.strerror}", path) from None
    except ValueError as error:
        raise ConfigurationError(f"it is not valid JSON: {error}", path) from None
    if not isinstance(document, dict):
        raise ConfigurationError("it cannot be read: it is not a JSON object", path)
    return document


@contextlib.contextmanager
def _converted_errors(path: str, key: str) -> Iterator[None]:
    # Convert errors of reading the value of a key to `ConfigurationError`.
    try:
        yield
    except MalformedInput as error:
        raise ConfigurationError(str(error), path, key) from None
    except KeyError as error:
        raise ConfigurationError(f"missing key {error}", path, key) from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigurationError(f"{key} cannot be read: {error}", path, key) from None
