"""The rule on ordering: events of one subject are sent one at a time, in the order they were accepted."""

import math
from collections import defaultdict
from collections.abc import Iterator

from swiftthread.lab.outcomes import CallOutcome
from swiftthread.lab.referee.breach import Breach, Rule
from swiftthread.lab.referee.evidence import Attempt, Evidence, SubmittedEvent
from swiftthread.lab.referee.tolerances import SLACK_MS

# Each event is compared with this many events before it in its subject.
COMPARED_PREDECESSORS = 8


def check_order(evidence: Evidence) -> Iterator[Breach]:
    """Rule 5: at each node, events of one subject go one at a time, in the order they were accepted."""
    for sequence in _ordered_sequences(evidence):
        for position, event in enumerate(sequence):
            for earlier in sequence[max(0, position - COMPARED_PREDECESSORS) : position]:
                if _is_order_known(evidence, earlier, event):
                    yield from _check_pair(evidence.incident.rules.key_rest_ms, earlier, event)


def _ordered_sequences(evidence: Evidence) -> Iterator[list[SubmittedEvent]]:
    """Yield the accepted events of each subject at each node in the order of their answers."""
    sequences: dict[tuple[str, str], list[SubmittedEvent]] = defaultdict(list)
    for event in evidence.events.values():
        if event.subject and event.stream.in_order and event.is_accepted():
            sequences[event.node, event.subject].append(event)
    for sequence in sequences.values():
        yield sorted(sequence, key=lambda event: event.answered_at)


def _is_order_known(evidence: Evidence, earlier: SubmittedEvent, event: SubmittedEvent) -> bool:
    """Return whether `earlier` was accepted first for certain, by a node that was not restarted since."""
    if earlier.answered_at > event.submitted_at:
        return False
    lifecycle = evidence.lifecycles[event.node]
    if lifecycle.is_down(event.submitted_at):
        return False
    return not lifecycle.goes_down_between(earlier.answered_at, event.expires_at)


def _check_pair(key_rest_ms: float, earlier: SubmittedEvent, event: SubmittedEvent) -> Iterator[Breach]:
    attempts_over = [_subject_free_at(attempt, key_rest_ms) for attempt in earlier.attempts]
    free_at = max([earlier.outcome_at(), *attempts_over])
    early_attempts = [attempt for attempt in event.attempts if attempt.at < free_at - SLACK_MS]
    if early_attempts:
        text = f"{event.event_id}: sent before {earlier.event_id} was over"
        yield Breach(Rule.ORDER, early_attempts[0].at, text)


def _subject_free_at(attempt: Attempt, key_rest_ms: float) -> float:
    """Return when the attempt can no longer run, so that its subject is free for the next one."""
    if attempt.ended_at() == math.inf:
        return attempt.at
    if attempt.is_acked() or attempt.was_rejected() or attempt.outcome == CallOutcome.ERROR:
        return attempt.replied_at
    return attempt.ended_at() + key_rest_ms
