"""The endpoint list: what discovery's pages say of each endpoint."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from loguru import logger

from swiftthread.client.http_exchange import PARSE_ERRORS
from swiftthread.network.address import Address, parse_address
from swiftthread.routing.messages import EndpointEntry

Value = TypeVar("Value")

STATE_READY = "SERVING"
STATE_DELETED = "DELETED"
FIRST_UNNAMED_NUMBER = 1 << 16  # numbers of zones, and of a kind, that the settings do not name


class MalformedEndpointList(ValueError):
    """A page that is no endpoint list, or one with an entry that cannot be read."""


class MalformedEndpointEntry(ValueError):
    """An entry of which a value is missing or cannot be read."""

    def __init__(self, endpoint_id: object, key: str, reason: Exception) -> None:
        super().__init__(f"endpoint {endpoint_id!r}: {key}: {reason!r}")
        self.endpoint_id = endpoint_id
        self.key = key


class EndpointListUpdate(NamedTuple):
    """What one page says."""

    entries: list[EndpointEntry]
    is_complete: bool
    """Whether endpoints that it does not name are gone."""


class EndpointList:
    """The endpoints that discovery has listed. All tables are emptied as endpoints go.

    Attributes:
        version: Version of the last page; 0 when nothing is known.
        addresses: (host, port) by endpoint id; one mapping for the life of the list.
        unreadable_in_a_row: How many pages in a row held an entry that could not be read.
    """

    def __init__(self, kind_numbers: Mapping[str, int], zone_numbers: Mapping[str, int]) -> None:
        self.kind_numbers = kind_numbers
        self.zone_numbers = zone_numbers
        self.version = 0
        self.addresses: dict[str | int, Address] = {}
        self.unreadable_in_a_row = 0
        self._entries: dict[str, EndpointEntry] = {}  # endpoint id -> its entry as last read
        # Zone name that the settings do not know, or id of an endpoint without one -> number.
        self._unnamed_zones: dict[str, int] = {}

    def apply_page(self, page: Any) -> EndpointListUpdate:
        """Read a page in discovery's form.

        An entry that cannot be read is left out, unless its endpoint is known: that one then counts as not
        ready.

        Raises:
            MalformedEndpointList: The page is no endpoint list, and nothing is changed.
        """
        rows = _parse_rows(page)
        version = _parse_version(page, default=self.version)
        is_complete = bool(page.get("full"))
        known_entries = dict(self._entries)
        if is_complete:
            self._entries.clear()
            self.addresses.clear()
            self._unnamed_zones.clear()
        entries = []
        has_unreadable = False
        for row in rows:
            try:
                entries.append(self._apply_row(row))
            except PARSE_ERRORS as error:
                has_unreadable = True
                logger.warning("discovery: an entry cannot be read ({}): {:.200}", error, repr(row))
                endpoint_id = row.get("id") if isinstance(row, dict) else None
                if isinstance(endpoint_id, str) and endpoint_id in known_entries:
                    entries.append(known_entries[endpoint_id]._replace(is_ready=False))
        self.version = version
        self.unreadable_in_a_row = self.unreadable_in_a_row + 1 if has_unreadable else 0
        return EndpointListUpdate(entries, is_complete)

    def _apply_row(self, row: Any) -> EndpointEntry:
        """Read one endpoint; its entry and address are kept only if all of it can be read."""
        endpoint_id = _parse_value(row, "id", _require_string)
        state = _parse_value(row, "state", lambda value: value)
        address = None if state == STATE_DELETED else _parse_value(row, "addr", parse_address)
        entry = EndpointEntry(
            endpoint_id=endpoint_id,
            destination_number=_parse_value(row, "cell", int),
            zone=self._zone_number(endpoint_id, row.get("zone")),
            kind=self._kind_number(endpoint_id, row.get("kind")),
            listed_rate=_parse_value(row, "weight", _parse_rate) if "weight" in row else 0.0,
            is_ready=state == STATE_READY,
        )
        if address is None:
            self._entries.pop(endpoint_id, None)
            self.addresses.pop(endpoint_id, None)
            self._unnamed_zones.pop(endpoint_id, None)
        else:
            self._entries[endpoint_id] = entry
            self.addresses[endpoint_id] = address
        return entry

    def _kind_number(self, endpoint_id: str, name: Any) -> int:
        """The kind's number.

        Where the settings don't name it, a number of no kind: one event a call, no route of its own.
        """
        if not (isinstance(name, str) and name in self.kind_numbers):
            logger.warning(
                "endpoint {}: kind {!r} is not in the settings; it gets one event a call", endpoint_id, name
            )
            return FIRST_UNNAMED_NUMBER
        return self.kind_numbers[name]

    def _zone_number(self, endpoint_id: str, name: Any) -> int:
        """The zone's number; where the settings don't name it, one of its own, the same after a restart.

        Events are deduplicated within one zone only. An endpoint without a zone is a zone of its own.
        """
        if isinstance(name, str) and name in self.zone_numbers:
            return self.zone_numbers[name]
        has_name = isinstance(name, str) and name != ""
        zone = name if has_name else endpoint_id
        if zone not in self._unnamed_zones:
            self._unnamed_zones[zone] = FIRST_UNNAMED_NUMBER + zlib.crc32(repr((has_name, zone)).encode())
            logger.warning(
                "endpoint {}: zone {!r} is not in the settings; it counts as separate from all others",
                endpoint_id,
                name,
            )
        return self._unnamed_zones[zone]


def _parse_rows(page: Any) -> list[Any]:
    try:
        rows = page["servers"]
    except PARSE_ERRORS as error:
        raise MalformedEndpointList(f"servers: {error!r}") from error
    if not isinstance(rows, list):
        raise MalformedEndpointList(f"servers: no list but {type(rows).__name__}")
    return rows


def _parse_version(page: dict[str, Any], default: int) -> int:
    try:
        return int(page.get("version") or default)
    except PARSE_ERRORS as error:
        raise MalformedEndpointList(f"version: {error!r}") from error


def _parse_value(row: Any, key: str, parse: Callable[[Any], Value]) -> Value:
    """The parsed value under a key of an entry; MalformedEndpointEntry when it cannot be read."""
    try:
        return parse(row[key])
    except PARSE_ERRORS as error:
        endpoint_id = row.get("id") if isinstance(row, dict) else None
        raise MalformedEndpointEntry(endpoint_id, key, error) from error


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"no string: {value!r}")
    return value


def _parse_rate(value: Any) -> float:
    return float(value or 0.0)
