"""Configuration of a node: the JSON document that LB_CONFIG names, read and checked once."""

import contextlib
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from swiftthread.configuration.settings_reader import (
    MalformedInput,
    SettingNames,
    doubtful_settings,
    read_names,
    read_report_fields,
    read_settings,
)
from swiftthread.network.address import parse_address
from swiftthread.routing.settings import Settings

# Keys that are read at a start alone: what is pending and in flight depends on them.
START_ONLY_KEYS = ("listen", "state", "limits", "settings")


class ConfigurationError(MalformedInput):
    """The configuration of a node cannot be used.

    Attributes:
        path: File of the configuration; None when none is named.
        key: Key of the document that is at fault; None when it is the document itself.
    """

    def __init__(self, reason: str, path: str | None = None, key: str | None = None) -> None:
        super().__init__(reason if path is None else f"the configuration {path}: {reason}")
        self.path = path
        self.key = key


@dataclass(frozen=True, kw_only=True)
class NodeConfig:
    """What a node is told at start. Addresses are (host, port)."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state_directory: str
    seed: int
    limits: Mapping[str, Any]
    """What the machine grants: `sockets`, `disk_mb`, `memory_mb`."""
    initial_list: dict[str, Any] | None
    """Endpoint list in discovery's form, to start with; None where the watch is to tell the first."""
    settings: Settings
    names: SettingNames
    report_fields: Sequence[str]
    """Names of the load report's fields."""
    settings_warnings: Sequence[str]
    """A line for each part of the settings that was read the cautious way."""
    start_only_values: Mapping[str, Any]
    """The document's values of `START_ONLY_KEYS`."""


def read_node_config(environ: Mapping[str, str], is_reload: bool = False) -> NodeConfig:
    """Read the configuration that LB_CONFIG names; raises `ConfigurationError`.

    Args:
        environ: LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_STATE win over the document.
        is_reload: The node runs already. The document says where discovery is; LB_DISCOVERY is of the start.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG names no configuration")
    document = _read_document(path)
    with _checked(path, "name"):
        name = environ.get("LB_NAME") or document["name"]
    with _checked(path, "listen"):
        listen = parse_address(environ.get("LB_LISTEN") or document["listen"])
    with _checked(path, "discovery"):
        told_discovery = None if is_reload else environ.get("LB_DISCOVERY")
        discovery = parse_address(told_discovery or document["discovery"])
    with _checked(path, "state"):
        state_directory = environ.get("LB_STATE") or document["state"]
    with _checked(path, "seed"):
        seed = int(str(document["seed"]), 16)
    with _checked(path, "settings"):
        settings_document = document["settings"]
        settings = read_settings(settings_document)
        report_fields = read_report_fields(settings_document)
        settings_warnings = list(doubtful_settings(settings_document))
        names = read_names(settings_document)
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
        names=names,
        report_fields=report_fields,
        settings_warnings=settings_warnings,
        start_only_values={key: document.get(key) for key in START_ONLY_KEYS},
    )


def _read_document(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as source:
            document = json.load(source)
    except OSError as error:
        raise ConfigurationError(f"it cannot be read: {error.strerror}", path) from None
    except ValueError as error:
        raise ConfigurationError(f"it is no JSON: {error}", path) from None
    if not isinstance(document, dict):
        raise ConfigurationError("it cannot be read: it is no JSON object", path)
    return document


@contextlib.contextmanager
def _checked(path: str, key: str) -> Iterator[None]:
    """Errors of reading this key become `ConfigurationError`."""
    try:
        yield
    except MalformedInput as error:
        raise ConfigurationError(str(error), path, key) from None
    except KeyError as error:
        raise ConfigurationError(f"it lacks {error}", path, key) from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigurationError(f"{key} cannot be read: {error}", path, key) from None
