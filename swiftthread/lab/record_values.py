"""Values of the text fields of run records. They are stored in files and must not change."""

from enum import StrEnum


class NodeState(StrEnum):
    """Values of `NodeLifecycleChanged.state`."""

    READY = "ready"
    STOPPING = "stopping"
    KILLED = "killed"


class EndpointState(StrEnum):
    """Values of `EndpointStateAnnounced.state` that the referee tells apart."""

    SERVING = "SERVING"


class EventOutcome(StrEnum):
    """Values of `NotificationReceived.outcome`."""

    HANDED_BACK = "handed_back"
    GIVEN_UP = "given_up"


class DestinationStatus(StrEnum):
    """Values of `DestinationChanged.change` that the referee tells apart."""

    DOWN = "out"
    RECOVERED = "back"
