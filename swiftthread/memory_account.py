"""The account of the memory that peers can make a node hold."""

# A limit on each kind of use alone does not bound their sum. The account divides the memory that the process
# may still use after its start, so the limits of all uses together fit into it.

import os
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

BYTES_PER_MIB = 1024 * 1024
# Share of the memory after the start that the account leaves free: blocks of the allocator that are partly in
# use, copies that exist while a message is parsed, garbage that is not collected yet.
UNACCOUNTED_SHARE = 0.25
# The account is at least this large, so that a node with too little memory still serves single clients.
MIN_ACCOUNT_BYTES = 256 * 1024
# Size of a process of this program at its start, where the system does not tell it.
DEFAULT_START_BYTES = 32 * BYTES_PER_MIB
RESIDENT_PAGES_FIELD = 1  # in /proc/self/statm


class MemoryUse(StrEnum):
    """What memory is used for."""

    CONNECTIONS = "client connections"
    REQUESTS = "incomplete requests"
    EVENTS = "events"
    """Pending events, and the ids of those that ended recently."""
    CALLS = "calls to endpoints"
    """Calls in flight, with their responses."""
    ENDPOINT_LIST = "endpoint list"
    """Endpoints that were listed after the start, and incomplete list documents."""


SHARES: Mapping[MemoryUse, float] = {
    MemoryUse.CONNECTIONS: 0.2,
    MemoryUse.REQUESTS: 0.2,
    MemoryUse.EVENTS: 0.4,
    MemoryUse.CALLS: 0.1,
    MemoryUse.ENDPOINT_LIST: 0.1,
}
"""Share of the account for each use; they add up to 1."""


class MemoryAccount:
    """Counts the bytes that each use holds, and limits them.

    Args:
        limit_bytes: The memory limit of the process.
        start_bytes: The resident size of the process before it has clients.
    """

    def __init__(self, limit_bytes: float, start_bytes: float) -> None:
        self.limit_bytes = int(limit_bytes)
        self.start_bytes = 0
        self.total_bytes = 0
        """Bytes that all uses together may hold."""
        self._used: Counter[MemoryUse] = Counter()
        self._highest: Counter[MemoryUse] = Counter()
        self.set_start_bytes(start_bytes)

    def set_start_bytes(self, start_bytes: float) -> None:
        """Set the resident size of the process before it has clients."""
        self.start_bytes = int(start_bytes)
        available_bytes = (1.0 - UNACCOUNTED_SHARE) * (self.limit_bytes - start_bytes)
        self.total_bytes = max(MIN_ACCOUNT_BYTES, int(available_bytes))

    def limit_of(self, use: MemoryUse) -> int:
        """Return how many bytes a use may hold."""
        # What others hold above their limits, for example more endpoints than expected, is not available.
        overdraft = sum(
            max(0, used - int(SHARES[other] * self.total_bytes))
            for other, used in self._used.items()
            if other is not use
        )
        return int(SHARES[use] * max(MIN_ACCOUNT_BYTES, self.total_bytes - overdraft))

    def used(self, use: MemoryUse) -> int:
        """Return how many bytes a use holds."""
        return self._used[use]

    def free(self, use: MemoryUse) -> int:
        """Return how many bytes more a use may hold; negative above its limit."""
        return self.limit_of(use) - self._used[use]

    def try_reserve(self, use: MemoryUse, size: int) -> bool:
        """Reserve bytes for a use; return False, and reserve nothing, if it would exceed its limit."""
        if size > self.free(use):
            return False
        self.reserve(use, size)
        return True

    def reserve(self, use: MemoryUse, size: int) -> None:
        """Reserve bytes that are held in any case, even above the limit of the use."""
        self._used[use] += size
        if self._used[use] > self._highest[use]:
            self._highest[use] = self._used[use]

    def release(self, use: MemoryUse, size: int) -> None:
        """Release bytes that were reserved."""
        self._used[use] -= size

    def take_highest(self, use: MemoryUse) -> int:
        """Return the most bytes that a use has held since the previous call."""
        highest = self._highest[use]
        self._highest[use] = self._used[use]
        return highest


def resident_bytes() -> int:
    """Return the resident size of this process."""
    try:
        with open("/proc/self/statm", encoding="ascii") as statm:
            pages = int(statm.read().split()[RESIDENT_PAGES_FIELD])
    except OSError:  # not Linux
        return DEFAULT_START_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")
