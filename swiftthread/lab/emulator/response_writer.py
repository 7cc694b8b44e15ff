"""Writes responses with the faults that concern their bytes: repeated, late, split, or among other bytes."""

import asyncio
import random
from collections.abc import Callable, Mapping

from swiftthread.lab.faults import Fault, FaultKind

INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\n\r\n"
MAX_NOISE_BYTES = 40

Writer = Callable[[asyncio.WriteTransport, bytes], None]


class ResponseFaults:
    """The faults of one link, drawn for each response.

    Attributes:
        active: The injected faults.
    """

    def __init__(self, rng: random.Random, active: Mapping[FaultKind, Fault]) -> None:
        self.active = active
        self._rng = rng

    def draws(self, kind: FaultKind) -> bool:
        """Return whether a fault takes effect this time, with the probability of its share."""
        fault = self.active.get(kind)
        return fault is not None and self._rng.random() < fault.share

    def delay_s(self, kind: FaultKind) -> float:
        """Return a random delay up to the longest of this fault, in seconds; 0 if it has none."""
        return self._rng.uniform(0.0, self.active[kind].max_delay_ms) / 1000.0

    def write(self, transport: asyncio.WriteTransport, response: bytes) -> None:
        """Write a response; it may be followed by a copy or other bytes, or by the end of the connection."""
        loop = asyncio.get_running_loop()
        data = INTERIM_RESPONSE + response if self.draws(FaultKind.INTERIM_RESPONSES) else response
        delay_s = 0.0
        if self.draws(FaultKind.LATE_RESPONSES):
            delay_s = self.delay_s(FaultKind.LATE_RESPONSES)
        if self.draws(FaultKind.SPLIT_RESPONSES):
            self._call_later(delay_s, _write_bytewise, transport, data)
        else:
            self._call_later(delay_s, _write, transport, data)
        if self.draws(FaultKind.REPEAT_RESPONSES):
            copied_after_s = delay_s + self.delay_s(FaultKind.REPEAT_RESPONSES)
            loop.call_later(copied_after_s, _write, transport, response)
        if self.draws(FaultKind.NOISE_AFTER_RESPONSES):
            noise = self._rng.randbytes(self._rng.randint(1, MAX_NOISE_BYTES))
            loop.call_later(delay_s + self.delay_s(FaultKind.NOISE_AFTER_RESPONSES), _write, transport, noise)
        if self.draws(FaultKind.HALF_CLOSE):
            loop.call_later(delay_s + self.delay_s(FaultKind.HALF_CLOSE), _write_end, transport)

    def write_once_or_twice(self, transport: asyncio.WriteTransport, data: bytes) -> None:
        """Write data at once, and a copy of it later if that fault is drawn."""
        _write(transport, data)
        if self.draws(FaultKind.REPEAT_RESPONSES):
            delay_s = self.delay_s(FaultKind.REPEAT_RESPONSES)
            asyncio.get_running_loop().call_later(delay_s, _write, transport, data)

    @staticmethod
    def _call_later(delay_s: float, write: Writer, transport: asyncio.WriteTransport, data: bytes) -> None:
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, write, transport, data)
        else:
            write(transport, data)


def _write(transport: asyncio.WriteTransport, data: bytes) -> None:
    if not transport.is_closing():
        transport.write(data)


def _write_bytewise(transport: asyncio.WriteTransport, data: bytes) -> None:
    for position in range(len(data)):
        _write(transport, data[position : position + 1])


def _write_end(transport: asyncio.WriteTransport) -> None:
    if not transport.is_closing():
        transport.write_eof()
