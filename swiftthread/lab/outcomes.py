"""Enumerations that the receiver model, the emulator, the baselines and the run records share.

Their values are stored in run records and sent over HTTP, so they must not change.
"""

from enum import StrEnum


class CallOutcome(StrEnum):
    """The outcome of one call at an endpoint."""

    DONE = "done"
    ERROR = "error"
    RATE_LIMITED = "full"
    UNAVAILABLE = "shut"
    CONNECTION_REJECTED = "conn"
    """The call was rejected together with its connection, which the response closes."""
    RESET = "reset"
    """The connection was reset."""
    TRUNCATED = "half"
    """The response was truncated and the connection closed."""
    NO_RESPONSE = "nothing"
    """No response is sent; the call stays open until the caller disconnects."""


class DestinationChange(StrEnum):
    """A change in the availability of a destination."""

    DOWN = "out"
    RECOVERED = "back"
    OVERLOADED = "falls"


class EndpointState(StrEnum):
    """The state of an endpoint in discovery's endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


class EventOutcome(StrEnum):
    """The final outcome of an accepted event that was not acknowledged, as in the notification of a node."""

    REJECTED = "handed_back"
    """The event was not executed, or a repetition is safe: its client may resubmit it."""
    ABANDONED = "given_up"
    """The event may have been executed, and another attempt is not safe."""


class NodeState(StrEnum):
    """A change in the lifecycle of a node process."""

    READY = "ready"
    STOPPING = "stopping"
    KILLED = "killed"
