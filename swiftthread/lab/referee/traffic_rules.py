"""Rules on the traffic that endpoints and destinations receive: draining, recovery load and Retry-After."""

import math
from collections import defaultdict, deque
from collections.abc import Iterator
from typing import NamedTuple

from swiftthread.lab.incident import Rules
from swiftthread.lab.outcomes import DestinationChange, EndpointState
from swiftthread.lab.overload import overload_threshold
from swiftthread.lab.referee.breach import Breach, Rule
from swiftthread.lab.referee.evidence import Attempt, EndpointAnnouncement, Evidence, LoadSample
from swiftthread.lab.referee.tolerances import TRANSIT_SLACK_MS
from swiftthread.lab.run_records import DestinationChanged

# Calls received within this time after a Retry-After was written may already have been in flight, in ms.
RETRY_AFTER_SLACK_MS = 100.0
# An overload is a breach if more than this share of it comes from nodes that were aware of the outage.
AWARE_LOAD_SHARE = 2 / 3


def check_draining(evidence: Evidence) -> Iterator[Breach]:
    """Rule 3: after the grace period, no new call goes to an endpoint that is draining or removed."""
    grace_ms = evidence.incident.rules.grace_ms + TRANSIT_SLACK_MS
    for event in evidence.events.values():
        for attempt in event.attempts:
            announcements = evidence.announcements.get((event.node, attempt.endpoint), [])
            announced = _announced_state(announcements, attempt.first_byte_at)
            if announced.state == EndpointState.SERVING:
                continue
            if attempt.first_byte_at > announced.at + grace_ms:
                yield Breach(
                    Rule.DRAINING,
                    attempt.first_byte_at,
                    f"{event.event_id}: sent to {attempt.endpoint}, which was {announced.state} and "
                    f"had not been serving for {attempt.first_byte_at - announced.at:.0f} ms",
                )


def _announced_state(announcements: list[EndpointAnnouncement], at: float) -> EndpointAnnouncement:
    """Return an endpoint's state at `at`, and the time since which it has not been serving if it is not."""
    state: str = EndpointState.SERVING
    not_serving_since = -math.inf
    for announcement in announcements:
        if announcement.at > at:
            continue
        if state == EndpointState.SERVING and announcement.state != state:
            not_serving_since = announcement.at
        state = announcement.state
    return EndpointAnnouncement(not_serving_since, state)


def check_recovery_load(evidence: Evidence) -> Iterator[Breach]:
    """Rule 4: after an outage, the load in any window stays within a multiple of the current capacity."""
    for destination, changes in evidence.destination_changes.items():
        for recovery in changes:
            if recovery.change != DestinationChange.RECOVERED:
                continue
            next_down_at = min(
                [
                    change.at
                    for change in changes
                    if change.at > recovery.at and change.change == DestinationChange.DOWN
                ],
                default=math.inf,
            )
            down_at = max(
                [
                    change.at
                    for change in changes
                    if change.at < recovery.at and change.change == DestinationChange.DOWN
                ],
                default=recovery.at,
            )
            loads = evidence.loads[destination]
            aware_nodes = _nodes_aware_of_outage(evidence, destination, down_at, recovery.at)
            yield from _check_recovery(evidence.incident.rules, recovery, next_down_at, loads, aware_nodes)


def _nodes_aware_of_outage(
    evidence: Evidence, destination: int, down_at: float, recovered_at: float
) -> set[str] | None:
    """Return the nodes with an unsuccessful call to the destination during an outage.

    The result is None when no endpoint rejected a call in that time. Connections failed then, which is not
    recorded, so that any node may be aware of the outage.
    """
    failed_attempts = [
        (event.node, attempt)
        for event in evidence.events.values()
        if event.destination == destination
        for attempt in event.attempts
        if down_at <= attempt.received_at < recovered_at and not attempt.is_acked()
    ]
    if not any(attempt.was_rejected() for _, attempt in failed_attempts):
        return None
    return {node for node, _ in failed_attempts}


def _check_recovery(
    rules: Rules,
    recovery: DestinationChanged,
    next_down_at: float,
    loads: list[LoadSample],
    aware_nodes: set[str] | None,
) -> Iterator[Breach]:
    """Check the load from a recovery until the destination is warm or down again.

    Only the first overload after a recovery is checked for a breach.
    """
    ends_at = min(recovery.at + rules.warm_up_ms, next_down_at)
    window: deque[LoadSample] = deque()
    for sample in loads:
        if not recovery.at <= sample.at <= ends_at:
            continue
        window.append(sample)
        while window[0].at < sample.at - rules.fall_ms:
            window.popleft()
        load = sum(sample.load for sample in window)
        budget = _recovery_budget(rules, recovery, sample.at)
        if load <= overload_threshold(budget):
            continue
        aware_load = sum(
            sample.load
            for sample in window
            if aware_nodes is None or sample.node in aware_nodes or not sample.node
        )
        if aware_load > AWARE_LOAD_SHARE * load:
            yield Breach(
                Rule.RECOVERY_LOAD,
                sample.at,
                f"destination {recovery.destination}: load {load:.1f} in {rules.fall_ms:.0f} ms, "
                f"{aware_load:.1f} of it from nodes aware of the outage, "
                f"budget {budget:.1f}, {sample.at - recovery.at:.0f} ms after its recovery",
            )
        return


def _recovery_budget(rules: Rules, recovery: DestinationChanged, at: float) -> float:
    """Return the number of calls allowed in the window that ends at `at`, while the destination warms up."""
    capacity_share = rules.cold_from + (1 - rules.cold_from) * (at - recovery.at) / rules.warm_up_ms
    return rules.fall_multiple * recovery.capacity * capacity_share * rules.fall_ms


class RetryAfterPeriod(NamedTuple):
    """The interval in which a Retry-After applies, from the response that carries it to its end (ms)."""

    responded_at: float
    ends_at: float


def check_retry_after(evidence: Evidence) -> Iterator[Breach]:
    """Rule 6: after a Retry-After, a node sends nothing to that destination until it has elapsed."""
    attempts_by_route: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for event in evidence.events.values():
        attempts_by_route[event.node, event.destination] += event.attempts
    for (node, destination), attempts in attempts_by_route.items():
        attempts.sort(key=lambda attempt: attempt.received_at)
        for period in _retry_after_periods(attempts):
            # A restarted node need not remember a Retry-After from before its restart.
            ends_at = min(period.ends_at, evidence.lifecycles[node].next_ready_at(period.responded_at))
            early_at = _first_call_between(
                attempts, period.responded_at + RETRY_AFTER_SLACK_MS, ends_at - TRANSIT_SLACK_MS
            )
            if early_at is not None:
                yield Breach(
                    Rule.RETRY_AFTER,
                    early_at,
                    f"{node} sent to destination {destination} {ends_at - early_at:.0f} ms before "
                    "its Retry-After had elapsed",
                )


def _retry_after_periods(attempts: list[Attempt]) -> list[RetryAfterPeriod]:
    """Return the distinct Retry-After periods of these attempts, in order of time."""
    return sorted(
        {
            RetryAfterPeriod(attempt.responded_at, attempt.responded_at + attempt.retry_after_ms)
            for attempt in attempts
            if attempt.retry_after_ms
        }
    )


def _first_call_between(attempts: list[Attempt], start: float, end: float) -> float | None:
    """Return the first time at which an attempt began after `start` and before `end`; None for no attempt."""
    return next((attempt.first_byte_at for attempt in attempts if start < attempt.first_byte_at < end), None)
