"""Which endpoints an address can belong to, when lists name several at it."""

# Only one process listens on an address. A list can name an endpoint there before it removes the one that had
# gone, and an event that is sent for the first one would reach the second, maybe of another destination. The
# order in which they were named there tells which of them has gone, unless one document named several or the
# start times contradict the order.

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

from swiftthread.network.address import Address


@dataclass(frozen=True, slots=True)
class ListedAddress:
    """The address of an endpoint, and which list document first named its present process there."""

    address: Address
    started_ms: int
    """When the endpoint last started, as the list states it: Unix time in ms; 0 for long ago."""
    document_number: int


class AddressOwners:
    """The endpoints by address, and by which list document each was named at it."""

    # An endpoint that is named again at its address keeps its place, unless it has started again.

    def __init__(self) -> None:
        self._listed: dict[str | int, ListedAddress] = {}
        # Ids by address, for the addresses at which several are listed.
        self._sharing: dict[Address, set[str | int]] = {}
        self._first_id: dict[Address, str | int] = {}

    def set_address(
        self, endpoint_id: str | int, address: Address, started_ms: int, document_number: int
    ) -> None:
        """Note that a document names an endpoint at an address."""
        listed = self._listed.get(endpoint_id)
        if listed is not None and (listed.address, listed.started_ms) == (address, started_ms):
            return
        self.remove(endpoint_id)
        self._listed[endpoint_id] = ListedAddress(address, started_ms, document_number)
        first_id = self._first_id.setdefault(address, endpoint_id)
        if first_id != endpoint_id:
            self._sharing.setdefault(address, {first_id}).add(endpoint_id)

    def remove(self, endpoint_id: str | int) -> None:
        """Forget an endpoint that is not listed any more."""
        listed = self._listed.pop(endpoint_id, None)
        if listed is None:
            return
        address = listed.address
        others = self._sharing.get(address, set())
        others.discard(endpoint_id)
        if others:
            self._first_id[address] = next(iter(others))
        else:
            del self._first_id[address]
            self._sharing.pop(address, None)

    def retain(self, listed_ids: Set[str | int]) -> set[Address]:
        """Forget all endpoints but these; return the addresses of the others."""
        left = {endpoint_id: self._listed[endpoint_id] for endpoint_id in self._listed.keys() - listed_ids}
        for endpoint_id in left:
            self.remove(endpoint_id)
        return {listed.address for listed in left.values()}

    def address_of(self, endpoint_id: str | int) -> Address | None:
        """Return the address of an endpoint; None if it is not listed."""
        listed = self._listed.get(endpoint_id)
        return None if listed is None else listed.address

    def sharing(self, address: Address) -> Set[str | int]:
        """Return the endpoints that share an address, or did; none if it always had only one."""
        return self._sharing.get(address, frozenset())

    def named_last(self, address: Address) -> Set[str | int]:
        """Return the endpoints that the latest document named at a shared address.

        The result is empty if an endpoint that was named there earlier has started later than one of them.
        """
        sharing = {endpoint_id: self._listed[endpoint_id] for endpoint_id in self.sharing(address)}
        latest_document = max((listed.document_number for listed in sharing.values()), default=0)
        latest = {
            endpoint_id
            for endpoint_id, listed in sharing.items()
            if listed.document_number == latest_document
        }
        earlier_starts = [
            listed.started_ms for endpoint_id, listed in sharing.items() if endpoint_id not in latest
        ]
        first_start = min((sharing[endpoint_id].started_ms for endpoint_id in latest), default=0)
        return latest if first_start >= max(earlier_starts, default=0) else frozenset()
