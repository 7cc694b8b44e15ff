"""Reports a node's activity in its log: state changes as they happen, and counts at regular intervals."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

import anyio
from loguru import logger

from swiftthread.network.connection_observer import CloseReason
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.observer import CallState, EndpointDown, EndpointRecovering
from swiftthread.service.log_filter import STATE_CHANGE
from swiftthread.storage.decision import FinalOutcome

REPORT_INTERVAL_S = 10.0


class AdmissionOutcome(StrEnum):
    """The outcome of a submission, with the reason for a rejection."""

    ACCEPTED = "accepted"
    DUPLICATE = "already accepted (duplicates)"
    CONFLICT = "rejected: another event has the same id"
    INVALID_EXPIRY = "rejected: the remaining time is over or too long"
    TOO_MANY_EVENTS = "rejected: too many events are pending"
    TOO_MANY_BYTES = "rejected: pending events take too much memory"
    TOO_MANY_OF_CLIENT = "rejected: the pending events of the client's connection take too much memory"
    UNKNOWN_DESTINATION = "rejected: the destination is in no endpoint list"
    SHUTTING_DOWN = "rejected: the node is shutting down"
    NOT_LOGGED = "rejected: the write-ahead log is full or cannot be written"


class Activity:
    """Counts submissions, attempts and final outcomes, and logs state changes of endpoints."""

    # It is the `RoutingObserver` and the `ConnectionObserver` of a node.

    def __init__(self) -> None:
        self.describe_resources: Callable[[], str] | None = None
        """Returns what the node holds at the time of a report; set once the node is built."""
        self.submissions: Counter[AdmissionOutcome] = Counter()
        self.attempts: Counter[SendOutcome] = Counter()
        self.unconfirmed_list_attempts = 0
        """Attempts by an endpoint list that discovery had not confirmed in this process."""
        self.call_states: Counter[CallState] = Counter()
        self.final_outcomes: Counter[FinalOutcome] = Counter()
        self.acked_count = 0
        self.down_count = 0
        """How many times an endpoint was marked down since the last report."""
        self.closed_connections: Counter[CloseReason] = Counter()
        """Connections to endpoints, by what had arrived when this node closed them."""
        self.unsolicited_responses: Counter[str | int] = Counter()
        """Second responses behind the response to a call, by endpoint id."""

    def endpoint_down(self, change: EndpointDown) -> None:
        """Log that an endpoint was marked down."""
        self.down_count += 1
        unacked = f"no call acked for {change.time_since_ack_ms / 1000.0:.1f} s"
        logger.bind(**STATE_CHANGE).info(
            "endpoint {} of destination {} was marked down after {} consecutive failures "
            "(last outcomes: {}), {}; next trial in {:.1f} s",
            change.endpoint_id,
            change.destination_number,
            change.consecutive_failures,
            _outcomes_text(change.unacked_outcomes),
            unacked if change.time_since_ack_ms < math.inf else "no call acked yet",
            change.time_to_next_trial_ms / 1000.0,
        )

    def endpoint_recovering(self, change: EndpointRecovering) -> None:
        """Log that an endpoint is up again and warms up."""
        logger.bind(**STATE_CHANGE).info(
            "endpoint {} of destination {} is up again (outcomes before: {}; last failure {:.1f} s ago), "
            "with a warm-up assumed to have begun {:.1f} s ago; next call in {:.1f} s",
            change.endpoint_id,
            change.destination_number,
            _outcomes_text(change.unacked_outcomes),
            change.time_since_failure_ms / 1000.0,
            change.warm_up_elapsed_ms / 1000.0,
            change.time_to_next_call_ms / 1000.0,
        )

    def call_started(self, state: CallState) -> None:
        """Count a call by the state in which the node holds the endpoint."""
        self.call_states[state] += 1

    def connection_closed(self, endpoint_id: str | int, reason: CloseReason) -> None:
        """Count a closed connection by its reason, and log a response that belongs to no call."""
        self.closed_connections[reason] += 1
        if reason is CloseReason.UNSOLICITED_RESPONSE:
            self.unsolicited_responses[endpoint_id] += 1
            logger.warning(
                "endpoint {}: a second response came behind the response to a call; it is ignored",
                endpoint_id,
            )

    async def report(self) -> None:
        """Log the counts at regular intervals until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.log_counts()

    def log_counts(self) -> None:
        """Log the counts since the previous report, unless all are 0, and what the node holds; reset them."""
        if self.describe_resources is not None:
            logger.bind(**STATE_CHANGE).info("resources: {}", self.describe_resources())
        if self.submissions or self.attempts or self.final_outcomes or self.acked_count:
            logger.bind(**STATE_CHANGE).info(
                "submissions: {}; attempts: {}, {} of them by an unconfirmed endpoint list; "
                "events: {} acked, {}; endpoints marked down: {}; "
                "connections closed: {}; unsolicited responses: {}; calls by state: {}",
                _counts_text(self.submissions),
                _counts_text(self.attempts),
                self.unconfirmed_list_attempts,
                self.acked_count,
                _counts_text(self.final_outcomes),
                self.down_count,
                _counts_text(self.closed_connections),
                _counts_text(self.unsolicited_responses),
                _counts_text(self.call_states),
            )
        self.submissions.clear()
        self.attempts.clear()
        self.unconfirmed_list_attempts = 0
        self.call_states.clear()
        self.final_outcomes.clear()
        self.acked_count = 0
        self.down_count = 0
        self.closed_connections.clear()
        self.unsolicited_responses.clear()


def _outcomes_text(outcomes: tuple[SendOutcome, ...]) -> str:
    return ", ".join(outcomes) or "none, other endpoints of the destination failed"


def _counts_text(counts: Mapping[Any, int]) -> str:
    return ", ".join(f"{count} {key}" for key, count in Counter(counts).most_common()) or "none"
