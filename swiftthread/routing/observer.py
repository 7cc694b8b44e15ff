"""Notifications of state changes to an observer, for logs and metrics. No decision depends on them."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from swiftthread.routing.messages import SendOutcome


class CallState(StrEnum):
    """The state in which a node held an endpoint when it made a call to it."""

    NORMAL = "normal"
    UNACKED = "after an unacked call"
    """The last call to it was not acked, but it is not held to be down."""
    TRIAL = "trial"
    HEALTH_CHECK = "health check"
    WARM_UP = "warm-up"


class EndpointDown(NamedTuple):
    """An endpoint was marked down. Durations are in ms."""

    endpoint_id: str | int
    destination_number: int
    unacked_outcomes: tuple[SendOutcome, ...]
    """The last outcomes since its last ack; empty if it was marked down for failures of other endpoints."""
    consecutive_failures: int
    time_since_ack_ms: float
    """The time since the last acked call; inf if there was none."""
    time_to_next_trial_ms: float
    """The time until the next trial may be sent."""


class EndpointRecovering(NamedTuple):
    """An endpoint acked a call and begins its warm-up. Durations are in ms."""

    endpoint_id: str | int
    destination_number: int
    unacked_outcomes: tuple[SendOutcome, ...]
    """The last outcomes before the ack."""
    time_since_failure_ms: float
    """The time since the last failed call; inf if it was marked down for failures of other endpoints."""
    warm_up_elapsed_ms: float
    """The elapsed part of the warm-up, which is assumed to have begun before the ack."""
    time_to_next_call_ms: float
    """The time until the next call may be sent."""


class RoutingObserver(Protocol):
    """Is notified of state changes of endpoints as they happen."""

    def endpoint_down(self, change: EndpointDown) -> None:
        """Handle an endpoint that was marked down."""

    def endpoint_recovering(self, change: EndpointRecovering) -> None:
        """Handle an endpoint that begins its warm-up."""

    def call_started(self, state: CallState) -> None:
        """Handle a call or health check to an endpoint that the node holds to be in this state."""


class NullObserver:
    """An observer that ignores all notifications."""

    def endpoint_down(self, change: EndpointDown) -> None:
        """Do nothing."""

    def endpoint_recovering(self, change: EndpointRecovering) -> None:
        """Do nothing."""

    def call_started(self, state: CallState) -> None:
        """Do nothing."""
