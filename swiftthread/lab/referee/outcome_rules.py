"""Rules on outcomes: each accepted event has exactly one, in time, even if its node was killed."""

from collections.abc import Iterator

from swiftthread.lab.outcomes import EventOutcome
from swiftthread.lab.referee.breach import Breach, Rule
from swiftthread.lab.referee.evidence import Evidence, SubmittedEvent
from swiftthread.lab.referee.tolerances import (
    CLOSE_RACE_MS,
    OUTCOME_SLACK_MS,
    READY_SLACK_MS,
    TRANSIT_SLACK_MS,
)


def check_single_outcome(evidence: Evidence) -> Iterator[Breach]:
    """Rule 1: each accepted event has one final outcome in time, and no attempt after it or the max age."""
    for event in evidence.events.values():
        yield from _check_response(evidence, event)
        yield from _check_outcome_in_time(evidence, event)
        yield from _check_notified_outcomes(evidence, event)
        yield from _check_rejected_not_sent(event)
        yield from _check_attempt_times(event)


def _breach(event: SubmittedEvent, at: float, text: str) -> Breach:
    return Breach(Rule.SINGLE_OUTCOME, at, f"{event.event_id}: {text}")


def _check_response(evidence: Evidence, event: SubmittedEvent) -> Iterator[Breach]:
    is_unanswered = event.is_connection_broken and event.status == 0
    if is_unanswered and not evidence.lifecycles[event.node].is_down(event.response_received_at):
        yield _breach(event, event.response_received_at, "no response to a request written in full")


def _check_outcome_in_time(evidence: Evidence, event: SubmittedEvent) -> Iterator[Breach]:
    due_at = evidence.lifecycles[event.node].outcome_due_at(event.expires_at)
    if event.is_accepted() and event.outcome_at() > due_at and due_at < evidence.last_record_at:
        yield _breach(event, due_at, f"accepted by {event.node}, but had no outcome when it was due")


def _check_notified_outcomes(evidence: Evidence, event: SubmittedEvent) -> Iterator[Breach]:
    outcomes = {notification.outcome for notification in event.notifications}
    if len(outcomes) > 1:
        text = f"notified of more than one outcome: {' and '.join(sorted(outcomes))}"
        yield _breach(event, event.notifications[-1].at, text)
    if (
        EventOutcome.REJECTED in outcomes
        and event.is_accepted()
        and event.acked_at() < event.notifications[0].at - CLOSE_RACE_MS
        and not evidence.lifecycles[event.node].is_down(event.acked_at())
    ):
        yield _breach(event, event.notifications[0].at, "notified of handed_back after its ack")


def _check_rejected_not_sent(event: SubmittedEvent) -> Iterator[Breach]:
    if event.status is not None and event.status >= 400 and event.attempts:
        yield _breach(event, event.attempts[0].received_at, f"rejected with status {event.status}, but sent")


def _check_attempt_times(event: SubmittedEvent) -> Iterator[Breach]:
    notified_at = event.notified_at()
    for attempt in event.attempts:
        if attempt.first_byte_at > event.expires_at + TRANSIT_SLACK_MS:
            yield _breach(event, attempt.first_byte_at, "sent after its max age")
        if attempt.first_byte_at > notified_at + TRANSIT_SLACK_MS:
            yield _breach(event, attempt.first_byte_at, "sent after the platform was notified of its outcome")


def check_durability(evidence: Evidence) -> Iterator[Breach]:
    """Durability: events that a killed node had accepted have an outcome once the node has restarted.

    The other rules check the attempts and outcomes of the restarted node.
    """
    for node, lifecycle in evidence.lifecycles.items():
        for killed_at in lifecycle.killed_times():
            ready_slack_ends_at = lifecycle.next_ready_at(killed_at) + READY_SLACK_MS
            missing = [
                event
                for event in evidence.events.values()
                if event.node == node and _is_lost_in_kill(evidence, event, killed_at, ready_slack_ends_at)
            ]
            if missing:
                yield Breach(
                    Rule.DURABILITY,
                    killed_at,
                    f"{node}: {len(missing)} events accepted before it was killed have no outcome; "
                    f"{missing[0].event_id} is the first",
                )


def _is_lost_in_kill(
    evidence: Evidence, event: SubmittedEvent, killed_at: float, ready_slack_ends_at: float
) -> bool:
    """Return whether an event accepted before a kill had no outcome when one was due."""
    due_at = max(ready_slack_ends_at, event.expires_at + OUTCOME_SLACK_MS)
    return (
        event.is_accepted()
        and event.response_received_at < killed_at < event.expires_at
        and event.outcome_at() > due_at
        and due_at < evidence.last_record_at
    )


def check_known_events(evidence: Evidence) -> Iterator[Breach]:
    """Known events: nodes send only events that a client submitted, and only to their destination."""
    for unknown in evidence.unknown_events:
        text = f"{unknown.event_id}: sent, but no client submitted it"
        yield Breach(Rule.KNOWN_EVENTS, unknown.at, text)
    for event in evidence.events.values():
        for attempt in event.attempts:
            if attempt.destination != event.destination:
                text = f"{event.event_id}: for destination {event.destination}, sent to {attempt.destination}"
                yield Breach(Rule.KNOWN_EVENTS, attempt.received_at, text)
