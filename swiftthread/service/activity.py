"""What a node did and why, for whoever reads its log: state changes as they happen, counts now and then."""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum

import anyio
from loguru import logger

from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.observer import EndpointDown, EndpointRecovering
from swiftthread.service.log_filter import STATE_CHANGE
from swiftthread.storage.decision import FinalOutcome

# s between two lines of counts.
REPORT_INTERVAL_S = 10.0


class AdmissionOutcome(StrEnum):
    """What became of a submission, and why."""

    ADMITTED = "admitted"
    KNOWN = "known already"
    CONFLICT = "refused: its id is another event's"
    UNUSABLE = "refused: its time cannot be used"
    TOO_MANY_EVENTS = "refused: too many events are pending"
    TOO_MANY_BYTES = "refused: too many bytes are pending"
    UNKNOWN_DESTINATION = "refused: no list names its destination"
    SHUTTING_DOWN = "refused: the node stops"
    NOT_LOGGED = "refused: the log cannot take it"


class Activity:
    """Counts submissions, sends and ends, and logs changes of endpoints' states.

    It is the `RoutingObserver` of a node.
    """

    def __init__(self) -> None:
        self.submissions: Counter[AdmissionOutcome] = Counter()
        self.sends: Counter[SendOutcome] = Counter()
        self.ends: Counter[FinalOutcome] = Counter()
        self.acked_count = 0
        self.down_count = 0
        """Endpoints that were held to be down since the last report."""

    def endpoint_down(self, change: EndpointDown) -> None:
        """Log that an endpoint is held to be down."""
        self.down_count += 1
        unacked = f"none acked for {change.unacked_ms / 1000.0:.1f} s"
        logger.bind(**STATE_CHANGE).info(
            "endpoint {} of destination {} is held to be down: {} calls failed in a row ({}), {}; "
            "next trial in {:.1f} s",
            change.endpoint_id,
            change.destination_number,
            change.consecutive_failures,
            change.last_outcome or "others of its destination",
            unacked if change.unacked_ms < math.inf else "none acked yet",
            change.next_trial_ms / 1000.0,
        )

    def endpoint_recovering(self, change: EndpointRecovering) -> None:
        """Log that an endpoint is back."""
        logger.bind(**STATE_CHANGE).info(
            "endpoint {} of destination {} is back, taken to warm up since {:.1f} s; next call in {:.1f} s",
            change.endpoint_id,
            change.destination_number,
            change.warm_up_elapsed_ms / 1000.0,
            change.next_call_ms / 1000.0,
        )

    async def report(self) -> None:
        """Log the counts of each interval in which there are any, until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.log_counts()

    def log_counts(self) -> None:
        """Log the counts since the last time, and start anew; nothing when there are none."""
        if self.submissions or self.sends or self.ends or self.acked_count:
            logger.bind(**STATE_CHANGE).info(
                "submissions: {}; sends: {}; events: {} acked, {}; endpoints that went down: {}",
                _counts_text(self.submissions),
                _counts_text(self.sends),
                self.acked_count,
                _counts_text(self.ends),
                self.down_count,
            )
        self.submissions.clear()
        self.sends.clear()
        self.ends.clear()
        self.acked_count = 0
        self.down_count = 0


def _counts_text(counts: Counter[AdmissionOutcome] | Counter[SendOutcome] | Counter[FinalOutcome]) -> str:
    return ", ".join(f"{count} {what}" for what, count in counts.most_common()) or "none"
