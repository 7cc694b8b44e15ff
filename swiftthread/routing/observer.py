"""What the router tells an observer about changes of state, for logs and metrics. No decision hangs on it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from swiftthread.routing.messages import SendOutcome


class EndpointDown(NamedTuple):
    """An endpoint is held to be down from now on. Spans in ms."""

    endpoint_id: str | int
    destination_number: int
    last_outcome: SendOutcome | None
    """How the last call to it ended; None when it is held to be down for the failures of others."""
    consecutive_failures: int
    unacked_ms: float
    """Since the last acked call; inf when there was none."""
    next_trial_ms: float
    """Until the next trial may go."""


class EndpointRecovering(NamedTuple):
    """An endpoint acked a call and warms up from now on. Spans in ms."""

    endpoint_id: str | int
    destination_number: int
    warm_up_elapsed_ms: float
    """For how long it is taken to have been back already."""
    next_call_ms: float
    """Until the next call may go."""


class RoutingObserver(Protocol):
    """Hears of changes of state as they happen."""

    def endpoint_down(self, change: EndpointDown) -> None:
        """An endpoint is held to be down."""

    def endpoint_recovering(self, change: EndpointRecovering) -> None:
        """An endpoint that was down warms up."""


class NullObserver:
    """Hears of everything and does nothing."""

    def endpoint_down(self, change: EndpointDown) -> None:
        """Do nothing."""

    def endpoint_recovering(self, change: EndpointRecovering) -> None:
        """Do nothing."""
