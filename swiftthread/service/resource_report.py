"""Describes what a node holds, and how long its event loop was held up, in one line of its log."""

from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import BYTES_PER_MIB, MemoryAccount, MemoryUse, resident_bytes
from swiftthread.server.connection_table import ConnectionState
from swiftthread.server.http_server import HttpServer

BYTES_PER_KIB = 1024


class ResourceReport:
    """The use of memory, connections and the event loop since the previous report."""

    def __init__(self, memory: MemoryAccount, server: HttpServer, hold_ups: HoldUps) -> None:
        self._memory = memory
        self._server = server
        self._hold_ups = hold_ups

    def describe(self) -> str:
        """Return the text of the line, and begin the next interval."""
        return (
            f"client connections: {self._connections()}; ended: {self._ended()}; "
            f"memory: {self._process_size()}; most held: {self._memory_uses()}; "
            f"longest hold-ups: {self._longest_hold_ups()}"
        )

    def _connections(self) -> str:
        connections = self._server.connections
        counts = [
            f"{connections.count(state)} {state.name.lower().replace('_', ' ')}"
            for state in ConnectionState
            if connections.count(state)
        ]
        waiting_count = self._server.waiting_count()
        if waiting_count:
            counts.append(f"{waiting_count} of them waiting to be read")
        return ", ".join(counts) or "none"

    def _ended(self) -> str:
        counts = self._server.take_close_counts()
        return ", ".join(f"{count} {reason}" for reason, count in counts.most_common() if count) or "none"

    def _process_size(self) -> str:
        resident, start, limit = (
            size / BYTES_PER_MIB
            for size in (resident_bytes(), self._memory.start_bytes, self._memory.limit_bytes)
        )
        return f"{resident:.1f} MiB resident, {start:.1f} at the start, {limit:.1f} allowed"

    def _memory_uses(self) -> str:
        return ", ".join(
            f"{use} {self._memory.take_highest(use) // BYTES_PER_KIB} of "
            f"{self._memory.limit_of(use) // BYTES_PER_KIB} KiB"
            for use in MemoryUse
        )

    def _longest_hold_ups(self) -> str:
        longest = self._hold_ups.take_longest()
        return ", ".join(f"{duration_ms:.0f} ms by {work}" for work, duration_ms in longest.items()) or "none"
