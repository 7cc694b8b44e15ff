"""Messages of the simulator's protocol: its codes, and a type for each record that the simulator sends.

Durations have their unit in the name. `offset` and `length` of a message give the position and size of its
data in the frame's tail, in bytes.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from swiftthread.routing.messages import SendOutcome


class RecordCode(IntEnum):
    """First byte of a record from the simulator."""

    START_INSTANCE = 16
    ENDPOINT_LIST = 17
    HEALTH_CHECK_RESULT = 18
    ATTEMPT_RESULT = 19
    SUBMIT_EVENT = 20
    STREAM_OPENED = 21
    WITHDRAW_EVENT = 22
    PEER_MESSAGE = 23
    WAKEUP = 24
    LIST_ENTRIES = 25
    STOP_INSTANCE = 26


class CommandCode(IntEnum):
    """First byte of a command to the simulator."""

    SEND = 80
    REJECT = 81
    ABANDON = 82
    SCHEDULE_WAKEUP = 84
    CHECK_HEALTH = 85
    CLOSE_IDLE = 86
    REPORT_FAULT = 89
    WATCH_ENDPOINT_LIST = 90


class ListForm(IntEnum):
    """How an `EndpointList` message uses its list: as the full list, as changes, or not at all."""

    FULL = 0
    DELTA = 2
    REQUEST_FAILED = 3
    FULL_ALTERNATE = 4
    """Treated like `FULL`."""


class EndpointPhase(IntEnum):
    """Phase of an endpoint in an endpoint list."""

    REMOVED = 0
    READY = 2
    DRAINING = 3


OUTCOMES_BY_CODE = {
    200: SendOutcome.ACKED,
    502: SendOutcome.FAILED,
    429: SendOutcome.RATE_LIMITED,
    408: SendOutcome.TIMED_OUT,
    521: SendOutcome.UNREACHABLE,
    520: SendOutcome.RESET,
    444: SendOutcome.CANCELLED,
    409: SendOutcome.NOT_EXECUTED,
}


class StartInstance(NamedTuple):
    """An instance starts; the frame's tail has its settings document."""

    instance: int
    seed: int
    offset: int
    length: int


class StopInstance(NamedTuple):
    """An instance stops and loses all its state."""

    instance: int


class ListEntries(NamedTuple):
    """Entries of an endpoint list, stored by list number for later `EndpointList` messages."""

    list_number: int
    offset: int
    entry_count: int


class EndpointList(NamedTuple):
    """An instance receives the list with a number, or learns that its request for a list failed."""

    instance: int
    form: int
    """A value of `ListForm`; unknown ones are rejected when the message is handled."""
    version: int
    list_number: int


class SubmitEvent(NamedTuple):
    """A client submits an event to an instance."""

    instance: int
    ticket: int
    time_left_s: float
    tenant: int
    ordering_key: int
    work: float
    stream_type: int
    marks: int
    destination: float


class WithdrawEvent(NamedTuple):
    """A client no longer waits for the outcome of its event."""

    instance: int
    ticket: int


class AttemptResult(NamedTuple):
    """An attempt has ended."""

    instance: int
    ticket: int
    latency_s: float
    endpoint: int
    is_event_finished: int
    attempt: int
    outcome_code: int
    retry_after_ms: int
    report_length: int
    report_0: float = 0.0
    report_1: float = 0.0
    report_2: float = 0.0
    report_3: float = 0.0

    @property
    def report_values(self) -> tuple[float, ...]:
        """Values of the load report in the response; empty if it has no load report."""
        return (self.report_0, self.report_1, self.report_2, self.report_3)[: self.report_length]


class HealthCheckResult(NamedTuple):
    """A health check has ended."""

    instance: int
    endpoint: int
    outcome_code: int
    latency_s: float
    report_length: int
    report_0: float = 0.0
    report_1: float = 0.0
    report_2: float = 0.0
    report_3: float = 0.0

    @property
    def report_values(self) -> tuple[float, ...]:
        """Values of the load report in the response; empty if it has no load report."""
        return (self.report_0, self.report_1, self.report_2, self.report_3)[: self.report_length]


class Wakeup(NamedTuple):
    """A timer of an instance, set by `schedule_wakeup`, has expired."""

    instance: int


class StreamOpened(NamedTuple):
    """A stream of an instance was opened. Only the `instance` field is decoded."""

    instance: int


class PeerMessage(NamedTuple):
    """Another instance sent a message. Only the field of the receiving instance is decoded."""

    instance: int


Message = (
    StartInstance
    | StopInstance
    | ListEntries
    | EndpointList
    | SubmitEvent
    | WithdrawEvent
    | AttemptResult
    | HealthCheckResult
    | Wakeup
    | StreamOpened
    | PeerMessage
)
