"""Which endpoints an address belongs to, when lists name several at it."""

# Only one process listens on an address. A list can name an endpoint there before it removes the one that had
# gone, and an event that is sent for the first one would reach the second.

from __future__ import annotations

from collections.abc import Set

from swiftthread.network.address import Address


class AddressOwners:
    """The endpoints by address, and by which list document each was named at it."""

    # An endpoint that is named again at its address keeps its place.

    def __init__(self) -> None:
        self._address: dict[str | int, Address] = {}
        self._named_by: dict[str | int, int] = {}
        # Ids by address, for the addresses at which several are listed.
        self._sharing: dict[Address, set[str | int]] = {}
        self._first_id: dict[Address, str | int] = {}

    def set_address(self, endpoint_id: str | int, address: Address, document_number: int) -> None:
        """Note that a document names an endpoint at an address."""
        if self._address.get(endpoint_id) == address:
            return
        self.remove(endpoint_id)
        self._address[endpoint_id] = address
        self._named_by[endpoint_id] = document_number
        first_id = self._first_id.setdefault(address, endpoint_id)
        if first_id != endpoint_id:
            self._sharing.setdefault(address, {first_id}).add(endpoint_id)

    def remove(self, endpoint_id: str | int) -> None:
        """Forget an endpoint that is not listed any more."""
        address = self._address.pop(endpoint_id, None)
        if address is None:
            return
        del self._named_by[endpoint_id]
        others = self._sharing.get(address, set())
        others.discard(endpoint_id)
        if others:
            self._first_id[address] = next(iter(others))
        else:
            del self._first_id[address]
            self._sharing.pop(address, None)

    def retain(self, listed_ids: Set[str | int]) -> set[Address]:
        """Forget all endpoints but these; return the addresses of the others."""
        left = {endpoint_id: self._address[endpoint_id] for endpoint_id in self._address.keys() - listed_ids}
        for endpoint_id in left:
            self.remove(endpoint_id)
        return set(left.values())

    def address_of(self, endpoint_id: str | int) -> Address | None:
        """Return the address of an endpoint; None if it is not listed."""
        return self._address.get(endpoint_id)

    def sharing(self, address: Address) -> dict[str | int, bool]:
        """Return the endpoints that share an address, or did, and whether each owns it.

        Those own it that the latest document named there. The result is empty if it always had only one.
        """
        sharing = self._sharing.get(address, set())
        latest = max((self._named_by[endpoint_id] for endpoint_id in sharing), default=0)
        return {endpoint_id: self._named_by[endpoint_id] == latest for endpoint_id in sharing}
