"""The plain types that the decisions and their callers share. Nothing is decided here.

A caller (the drill, or the node on sockets) builds one `choice.Dispatcher` for each instance and
then: hands in what it learns (`take`, `listed`, `withdrawn`, `probed`), puts the events that may be asked
for in order (`in_order`), and makes the three calls: `where`, `after`, `wait`. Moments and lengths of
time are milliseconds with fractions; moments are read off one clock that only goes forward.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

# How a send can end, whatever the protocol calls it.
ACKED, ERROR, FULL, TIMEOUT = "acked", "error", "full", "timeout"
UNREACHED, RESET, CANCELLED, UNSENT = "unreached", "reset", "cancelled", "unsent"
# Turned away with its new connection: the endpoint runs, its connection table is full
TABLE_FULL = "table full"
KEPT = "kept"  # this node itself let none of its last byte go: no send of the event's, nobody was called
NEVER_RAN = (FULL, UNREACHED, UNSENT, TABLE_FULL, KEPT)  # what surely had no effect

# Effects of a stream type.
IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "idempotent", "deduplicated", "non-idempotent"


class Send(NamedTuple):
    """Send the event to this sink, and stop waiting after so long."""

    sink: object
    allow_ms: float


class Decline(NamedTuple):
    """Hand the event back; the client may try again, best after this long (0: no advice)."""

    come_back_ms: float


class Discard(NamedTuple):
    """End the event; nothing is promised of what it did."""


class Later(NamedTuple):
    """Not yet: ask `wait` when to ask again."""


class Wait(NamedTuple):
    """Ask again at this moment, or before it as soon as any send of this node ends."""

    until: float
    or_outcome: bool


class StreamType(NamedTuple):
    """What the client's contract says of a kind of event."""

    slo_ms: float
    max_age_ms: float
    utility: float = 1.0
    late_utility: float = 0.0
    effect: str = NON_IDEMPOTENT
    group: str = "all"
    window_ms: float = 0.0
    in_order: bool = False


@dataclass(frozen=True, kw_only=True)
class Settings:
    """What an instance is told at start. Times are in ms; what is left out has the value that binds least."""

    streams: Sequence[StreamType] = ()
    nodes: int = 1
    position: int = 0
    slots: float = math.inf
    room: float = math.inf
    most_sends: int = 8
    batch_by_kind: Sequence[int] = ()
    apart_by_kind: Sequence[bool] = ()
    carriage_by_zone: Sequence[float] = ()
    halving: bool = False
    listed_rates: str = "off"
    quotas: Sequence[float | None] = ()
    over_quota_utility: float = 1.0
    may_probe: bool = False
    may_advise: bool = False
    most_advice_ms: float = 0.0
    asks_for_list: bool = False
    ask_within_ms: float = 0.0
    fall_multiple: float = 1.0
    cold_from: float = 0.15
    warm_up_ms: float = 20000.0
    key_rest_ms: float = 0.0
    tick_ms: float = 5.0
    keepalive_ms: float = math.inf
    connect_ms: float = 0.0


class Event:
    """An event in hand. The ticket is the door's; all else is kept by the decisions."""

    __slots__ = (
        "ticket",
        "stream",
        "dest",
        "subject",
        "weight",
        "slo_at",
        "ends_at",
        "ask_at",
        "by_outcome",
        "sends",
        "sink",
        "call",
        "sent_at",
        "sent_group",
        "maybe_at",
        "maybe_group",
        "over",
    )

    def __init__(self, stream, dest, subject, now, left, weight):
        self.stream, self.dest, self.subject, self.weight = stream, dest, subject, weight
        self.ends_at = now + left
        self.slo_at = self.ends_at - stream.max_age_ms + stream.slo_ms
        self.ask_at, self.by_outcome, self.sends, self.over = now, False, 0, False
        self.sink = self.call = self.sent_at = self.sent_group = self.maybe_at = self.maybe_group = None


class Destination:
    """A destination, its endpoints in this node's order, and how many events are held for it."""

    def __init__(self, number):
        self.number, self.sinks, self.key, self.held = number, [], None, 0


class Call:
    """One call out, with the events that travel in it; it ends with the last of their outcomes."""

    def __init__(self, sink):
        self.sink, self.left, self.learnt = sink, 0, False
