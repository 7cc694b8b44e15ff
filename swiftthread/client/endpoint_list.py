"""The endpoint list: the endpoints and addresses that discovery's list documents name."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Set
from typing import Any, NamedTuple, TypeVar

from loguru import logger

from swiftthread.client.address_owners import AddressOwners
from swiftthread.client.http_exchange import PARSE_ERRORS
from swiftthread.network.address import Address, parse_address
from swiftthread.routing.messages import EndpointEntry

Value = TypeVar("Value")

STATE_READY = "SERVING"
STATE_DELETED = "DELETED"
# First number of zones that the settings do not name, and the one number of all kinds that they do not name.
FIRST_UNCONFIGURED_NUMBER = 1 << 16


# How many endpoints have a version of their own; the version of the others is that of the complete list.
MAX_ENTRY_VERSIONS = 1024
# How many zones that the settings do not name are remembered, so that each is reported once.
MAX_UNCONFIGURED_ZONES = 1024


class MalformedEndpointList(ValueError):
    """A list document that cannot be used as it is: the complete list is to be requested."""


class MalformedEndpointEntry(ValueError):
    """An entry in which a value is missing or cannot be parsed."""

    def __init__(self, endpoint_id: object, key: str, reason: Exception) -> None:
        super().__init__(f"endpoint {endpoint_id!r}: {key}: {reason!r}")
        self.endpoint_id = endpoint_id
        self.key = key


class EndpointListUpdate(NamedTuple):
    """The contents of one list document."""

    entries: list[EndpointEntry]
    is_complete: bool
    """Whether endpoints that the document does not name are removed."""


class EndpointList:
    """The endpoints that discovery has listed."""

    # Removed endpoints are deleted from the tables.

    def __init__(self, kind_numbers: Mapping[str, int], zone_numbers: Mapping[str, int]) -> None:
        self.kind_numbers = kind_numbers
        self.zone_numbers = zone_numbers
        self.version = 0
        """Highest version of the list documents; 0 if the complete list is to be requested."""
        self.entry_versions: dict[str | int, int] = {}
        """Versions of the last changes, by endpoint id, the oldest first; deleted endpoints are included."""
        self._oldest_version = 0  # the version of all other endpoints
        self.addresses: dict[str | int, Address] = {}
        """Addresses as (host, port), by endpoint id; the mapping is updated in place."""
        self.consecutive_unreadable_lists = 0
        """How many consecutive list documents, up to the last one, had an entry that could not be parsed."""
        self._entries: dict[str | int, EndpointEntry] = {}  # by endpoint id, as last parsed
        self._owners = AddressOwners()
        self._document_count = 0
        # Numbers of zones that are not in the settings, by name; of endpoints without a zone, by id.
        self._unconfigured_zones: dict[str, int] = {}

    def expect_complete_list(self) -> None:
        """Accept any version next: the complete list is requested."""
        self.version = 0
        self._oldest_version = 0
        self.entry_versions.clear()

    def apply_document(self, document: Any, is_first_of_watch: bool = False) -> EndpointListUpdate:
        """Apply a list document from discovery, except entries that are older than the known ones.

        Raises:
            MalformedEndpointList: The document is not an endpoint list, or is older than the known list where
                it cannot be a repeated document; nothing has been changed.
        """
        # A watch may repeat a document, or send it late. The complete list that a watch begins with is
        # applied whatever its version: another discovery may count from the beginning.
        # An entry that cannot be parsed is left out. If its endpoint is known, the update has the last entry
        # of the endpoint instead, marked as not ready.
        raw_entries = _parse_entries(document)
        version = _parse_version(document, default=self.version)
        is_complete = bool(document.get("full"))
        if version < self.version and not (is_complete and is_first_of_watch):
            if is_first_of_watch or is_complete and version > self._oldest_version:
                raise MalformedEndpointList(f"version {version} after version {self.version}")
            is_complete = False
            raw_entries = self._without_outdated_entries(raw_entries, version)
        known_entries = dict(self._entries)
        if is_complete:
            self._entries.clear()
            self.addresses.clear()
            self._unconfigured_zones.clear()
            self.expect_complete_list()
            self._oldest_version = version
        entries: dict[str | int, EndpointEntry] = {}
        touched_addresses: set[Address] = set()
        self._document_count += 1
        has_unreadable = False
        for raw_entry in raw_entries:
            try:
                entry = self._apply_entry(raw_entry, touched_addresses)
                entries[entry.endpoint_id] = entry
                if not is_complete:
                    self._record_version(entry.endpoint_id, version)
            except PARSE_ERRORS as error:
                has_unreadable = True
                logger.warning(
                    "discovery: an entry of the list cannot be parsed ({}) and is not applied; "
                    "an endpoint that is known becomes not ready: {:.200}",
                    error,
                    repr(raw_entry),
                )
                endpoint_id = raw_entry.get("id") if isinstance(raw_entry, dict) else None
                if isinstance(endpoint_id, str) and endpoint_id in known_entries:
                    entries[endpoint_id] = known_entries[endpoint_id]._replace(is_ready=False)
        self.version = max(self.version, version)
        self.consecutive_unreadable_lists = self.consecutive_unreadable_lists + 1 if has_unreadable else 0
        if is_complete:
            touched_addresses |= self._owners.retain(self.addresses.keys())
        self._apply_ownership(touched_addresses, entries)
        return EndpointListUpdate(list(entries.values()), is_complete)

    def _apply_ownership(self, addresses: set[Address], entries: dict[str | int, EndpointEntry]) -> None:
        # Where several endpoints are listed at an address, only its owner is ready; the others may be again
        # once that one is removed.
        for address in addresses:
            sharing = self._owners.sharing(address)
            owners = self._owners_of(address)
            if sharing != owners:
                _report_shared_address(address, sharing, owners)
            for endpoint_id in sharing:
                entry = entries.get(endpoint_id, self._entries[endpoint_id])
                is_ready = entry.is_ready and endpoint_id in owners
                entries[endpoint_id] = entry._replace(is_ready=is_ready)

    def _owners_of(self, address: Address) -> Set[str | int]:
        # Return the endpoints that may be called at a shared address: the one that was named there last. If
        # that is true of several it does not matter which of them listens there as long as the events that
        # may be sent to them are the same.
        named_last = self._owners.named_last(address)
        entries = [self._entries[endpoint_id] for endpoint_id in named_last]
        roles = {(entry.destination_number, entry.zone, entry.kind) for entry in entries}
        return named_last if len(roles) == 1 else frozenset()

    def _without_outdated_entries(self, raw_entries: list[Any], version: int) -> list[Any]:
        # Return the entries that no later document has changed.
        newest = [
            raw_entry
            for raw_entry in raw_entries
            if not isinstance(raw_entry, dict)
            or version >= self.entry_versions.get(raw_entry.get("id", ""), self._oldest_version)
        ]
        logger.info(
            "discovery: a list of version {} came after version {}; {} of its {} entries are outdated",
            version,
            self.version,
            len(raw_entries) - len(newest),
            len(raw_entries),
        )
        return newest

    def _record_version(self, endpoint_id: str | int, version: int) -> None:
        self.entry_versions.pop(endpoint_id, None)
        self.entry_versions[endpoint_id] = version
        if len(self.entry_versions) > MAX_ENTRY_VERSIONS:
            oldest_id = next(iter(self.entry_versions))
            self._oldest_version = max(self._oldest_version, self.entry_versions.pop(oldest_id))

    def _apply_entry(self, raw_entry: Any, touched_addresses: set[Address]) -> EndpointEntry:
        # Parse the entry of one endpoint; it and the address are stored only if all values can be parsed. The
        # addresses that an endpoint leaves or gets are added to `touched_addresses`.
        endpoint_id = _parse_value(raw_entry, "id", _require_string)
        state = _parse_value(raw_entry, "state", lambda value: value)
        address = None if state == STATE_DELETED else _parse_value(raw_entry, "addr", parse_address)
        entry = EndpointEntry(
            endpoint_id=endpoint_id,
            destination_number=_parse_value(raw_entry, "cell", int),
            zone=self._zone_number(endpoint_id, raw_entry.get("zone")),
            kind=self._kind_number(endpoint_id, raw_entry.get("kind")),
            listed_rate=_parse_value(raw_entry, "weight", _parse_rate) if "weight" in raw_entry else 0.0,
            is_ready=state == STATE_READY,
        )
        previous_address = self._owners.address_of(endpoint_id)
        touched_addresses.update(touched for touched in (previous_address, address) if touched is not None)
        if address is None:
            self._owners.remove(endpoint_id)
            self._entries.pop(endpoint_id, None)
            self.addresses.pop(endpoint_id, None)
            self._unconfigured_zones.pop(endpoint_id, None)
        else:
            started_ms = _parse_start_time(raw_entry.get("started_ms"))
            self._owners.set_address(endpoint_id, address, started_ms, self._document_count)
            self._entries[endpoint_id] = entry
            self.addresses[endpoint_id] = address
        return entry

    def _kind_number(self, endpoint_id: str, name: Any) -> int:
        # Returns the number of a kind. A kind that the settings do not name has FIRST_UNCONFIGURED_NUMBER,
        # which no kind in the settings has: its endpoints get one event per call and have no separate route.
        if not (isinstance(name, str) and name in self.kind_numbers):
            logger.warning(
                "endpoint {}: kind {!r} is not in the settings; it gets one event per call", endpoint_id, name
            )
            return FIRST_UNCONFIGURED_NUMBER
        return self.kind_numbers[name]

    def _zone_number(self, endpoint_id: str, name: Any) -> int:
        # Returns the number of a zone. A zone that the settings do not name has a separate number, because
        # events are deduplicated only within one zone. The number is the same after a restart. An endpoint
        # without a zone counts as a separate zone.
        if isinstance(name, str) and name in self.zone_numbers:
            return self.zone_numbers[name]
        has_name = isinstance(name, str) and name != ""
        zone = name if has_name else endpoint_id
        if zone not in self._unconfigured_zones:
            self._unconfigured_zones[zone] = FIRST_UNCONFIGURED_NUMBER + zlib.crc32(
                repr((has_name, zone)).encode()
            )
            logger.warning(
                "endpoint {}: zone {!r} is not in the settings; it counts as separate from all other zones",
                endpoint_id,
                name,
            )
            if len(self._unconfigured_zones) > MAX_UNCONFIGURED_ZONES:
                del self._unconfigured_zones[next(iter(self._unconfigured_zones))]
        return self._unconfigured_zones[zone]


def _parse_entries(document: Any) -> list[Any]:
    try:
        raw_entries = document["servers"]
    except PARSE_ERRORS as error:
        raise MalformedEndpointList(f"servers: {error!r}") from error
    if not isinstance(raw_entries, list):
        raise MalformedEndpointList(f"servers: not a list but {type(raw_entries).__name__}")
    return raw_entries


def _parse_version(document: dict[str, Any], default: int) -> int:
    try:
        return int(document.get("version") or default)
    except PARSE_ERRORS as error:
        raise MalformedEndpointList(f"version: {error!r}") from error


def _parse_value(raw_entry: Any, key: str, parse: Callable[[Any], Value]) -> Value:
    # Parse the value under a key of an entry. Raises MalformedEndpointEntry if the value is missing or cannot
    # be parsed.
    try:
        return parse(raw_entry[key])
    except PARSE_ERRORS as error:
        endpoint_id = raw_entry.get("id") if isinstance(raw_entry, dict) else None
        raise MalformedEndpointEntry(endpoint_id, key, error) from error


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value


def _parse_start_time(value: Any) -> int:
    # Returns a Unix time in ms; 0, long ago, for a value that is none.
    return value if isinstance(value, int) else 0


def _report_shared_address(address: Address, sharing: Set[str | int], owners: Set[str | int]) -> None:
    endpoint_ids = ", ".join(sorted(map(str, sharing)))
    if not owners:
        logger.warning(
            "discovery: the address {}:{} is listed for the endpoints {}, and it is not known whose it is; "
            "nothing is sent there until one of them is removed",
            *address,
            endpoint_ids,
        )
    else:
        logger.info(
            "discovery: the address {}:{} is listed for the endpoints {}; the last to be listed there is {}, "
            "and nothing is sent there for others",
            *address,
            endpoint_ids,
            ", ".join(sorted(map(str, owners))),
        )


def _parse_rate(value: Any) -> float:
    return float(value or 0.0)
