"""Enumerations that the receiver model, the emulator, the baselines and the rows of a run share.

Their values are what stands in the rows on disk and on the wire, so they never change.
"""

from enum import StrEnum


class CallOutcome(StrEnum):
    """What an endpoint did with one call."""

    DONE = "done"
    ERROR = "error"
    RATE_LIMITED = "full"
    UNAVAILABLE = "shut"
    RESET = "reset"
    """The connection was reset."""
    TRUNCATED = "half"
    """The response broke off and the connection was closed."""
    NO_REPLY = "nothing"
    """Silence until the caller disconnects."""


class DestinationChange(StrEnum):
    """How the availability of a destination changed."""

    DOWN = "out"
    RECOVERED = "back"
    OVERLOADED = "falls"


class EndpointState(StrEnum):
    """The state of an endpoint in discovery's endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


class EventOutcome(StrEnum):
    """The final outcome of an accepted event that was not acknowledged, as a node notifies the platform."""

    HANDED_BACK = "handed_back"
    """Not executed, or safe to repeat: its client may submit it again."""
    GIVEN_UP = "given_up"
    """It may have been executed, and another attempt is not safe."""


class NodeState(StrEnum):
    """A change in the lifecycle of a node process."""

    READY = "ready"
    STOPPING = "stopping"
    KILLED = "killed"
