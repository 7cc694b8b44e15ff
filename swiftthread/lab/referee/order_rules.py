"""The ordering rule: events with one ordering key are sent one at a time, in the order of acceptance."""

import math
from collections import defaultdict
from collections.abc import Iterator

from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.referee.breach import Breach, Rule
from swiftthread.lab.referee.evidence import Attempt, Evidence, SubmittedEvent
from swiftthread.lab.referee.tolerances import TRANSIT_SLACK_MS

# Each event is compared with at most this many events that precede it under its ordering key.
COMPARED_PREDECESSORS = 8


def check_order(evidence: Evidence) -> Iterator[Breach]:
    """Rule 5: each node sends events with one ordering key one at a time, in the order of acceptance."""
    for sequence in _ordered_sequences(evidence):
        for position, event in enumerate(sequence):
            for earlier in sequence[max(0, position - COMPARED_PREDECESSORS) : position]:
                if _is_order_known(evidence, earlier, event):
                    yield from _check_pair(evidence.incident.rules.key_rest_ms, earlier, event)


def _ordered_sequences(evidence: Evidence) -> Iterator[list[SubmittedEvent]]:
    """Yield the accepted events of each ordering key at each node, in the order of their responses."""
    sequences: dict[tuple[str, str], list[SubmittedEvent]] = defaultdict(list)
    for event in evidence.events.values():
        if event.subject and event.stream.in_order and event.is_accepted():
            sequences[event.node, event.subject].append(event)
    for sequence in sequences.values():
        yield sorted(sequence, key=lambda event: event.response_received_at)


def _is_order_known(evidence: Evidence, earlier: SubmittedEvent, event: SubmittedEvent) -> bool:
    """Return whether `earlier` was certainly accepted first, by a node that has not been restarted since."""
    if earlier.response_received_at > event.submitted_at:
        return False
    lifecycle = evidence.lifecycles[event.node]
    if lifecycle.is_down(event.submitted_at):
        return False
    return not lifecycle.goes_down_between(earlier.response_received_at, event.expires_at)


def _check_pair(key_rest_ms: float, earlier: SubmittedEvent, event: SubmittedEvent) -> Iterator[Breach]:
    attempt_finished_times = [_finished_at(attempt, key_rest_ms) for attempt in earlier.attempts]
    finished_at = max([earlier.outcome_at(), *attempt_finished_times])
    early_attempts = [
        attempt for attempt in event.attempts if attempt.received_at < finished_at - TRANSIT_SLACK_MS
    ]
    if early_attempts:
        text = f"{event.event_id}: sent before the earlier event {earlier.event_id} was finished"
        yield Breach(Rule.ORDER, early_attempts[0].received_at, text)


def _finished_at(attempt: Attempt, key_rest_ms: float) -> float:
    """Return when an attempt can no longer run, so that the next event with its ordering key may be sent."""
    if attempt.ended_at() == math.inf:
        return attempt.received_at
    if attempt.is_acked() or attempt.was_rejected() or attempt.outcome == CallOutcome.ERROR:
        return attempt.responded_at
    return attempt.ended_at() + key_rest_ms
