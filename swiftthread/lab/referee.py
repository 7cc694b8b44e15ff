"""Judges a run by the rules, from what clients were answered and what endpoints and the platform saw.

It shares no code with the node, and believes nothing that a node says of itself. Each rule is one function
over the `Evidence`; each breach names its rule, its moment and what was seen. The rules are those of
docs/lab.md; an attempt that "may have run" is one that was not rejected and reached the endpoint.
"""

import math
from collections import defaultdict
from typing import NamedTuple

from swiftthread.lab import receiver_model, run_records

SLACK_MS = 50.0  # ms: every time limit is longer by this, for what was on its way
OUTCOME_SLACK_MS = 300.0  # ms after the max age within which the end must be known
READY_SLACK_MS = 1500.0  # ms after a restarted node is ready within which overdue ends must be known
RETRY_AFTER_SLACK_MS = 100.0  # ms after a Retry-After was written in which calls were under way already
CLOSE_RACE_MS = 50.0  # ms for which an answer and its caller's close may cross
EXTRA_EVENT_LOAD = 0.05  # load of one more event in a call
# Slack of a recovery budget for chance.
OVERLOAD_SLACK_CALLS = 3.0  # calls
OVERLOAD_SLACK_SIGMAS = 3.0  # x the budget's square root


class Breach(NamedTuple):
    """One broken rule: which, when, and what was seen."""

    rule: str
    at: float
    text: str


class Attempt:
    """One call as far as one event is concerned."""

    __slots__ = (
        "at",
        "first_byte_at",
        "endpoint",
        "destination",
        "zone",
        "outcome",
        "replied_at",
        "retry_after_ms",
        "disconnected_at",
    )

    def __init__(self, row):
        self.at, self.first_byte_at, self.endpoint, self.destination, self.zone = (
            row.at,
            row.first_byte_at,
            row.endpoint,
            row.destination,
            row.zone,
        )
        self.outcome, self.replied_at, self.retry_after_ms, self.disconnected_at = (
            None,
            math.inf,
            0.0,
            math.inf,
        )

    def ended_at(self):
        """When it was no longer in flight on an open connection."""
        return min(self.replied_at, self.disconnected_at)

    def was_rejected(self):
        return self.outcome in (receiver_model.RATE_LIMITED, receiver_model.UNAVAILABLE)

    def is_acked(self):
        return self.outcome == receiver_model.DONE


class SubmittedEvent:
    """One submission and all that became of it."""

    def __init__(self, row, stream):
        self.event_id, self.original_id, self.node, self.destination, self.stream = (
            row.event_id,
            row.original_id,
            row.node,
            row.destination,
            stream,
        )
        self.subject, self.expires_at, self.submitted_at, self.scheduled_at = (
            row.subject,
            row.expires_at,
            row.at,
            row.scheduled_at,
        )
        self.status, self.answered_at, self.is_connection_broken, self.attempts, self.notifications = (
            None,
            math.inf,
            False,
            [],
            [],
        )

    def acked_at(self):
        """When its first line with 200 was written; inf when none was."""
        return min([attempt.replied_at for attempt in self.attempts if attempt.is_acked()], default=math.inf)

    def outcome_at(self):
        return min([self.acked_at()] + [row.at for row in self.notifications])


class Evidence:
    """The rows of a run, put together."""

    def __init__(self, incident, rows):
        self.incident, self.events, self.calls = incident, {}, {}
        self.announced_states, self.destination_changes, self.lifecycle = (
            defaultdict(list),
            defaultdict(list),
            defaultdict(list),
        )
        self.loads, self.unknown_events, self.last_record_at = (
            defaultdict(list),
            [],
            rows[-1].at if rows else 0.0,
        )
        streams = {stream.name: stream for stream in incident.stream}
        # Clients record a submission before its first byte and an answer after its last, whatever file comes
        # first.
        for row in rows:
            if isinstance(row, run_records.EventSubmitted):
                self.events[row.event_id] = SubmittedEvent(row, streams[row.stream])
        for row in rows:
            self._add_record(row)

    def _add_record(self, row):
        if isinstance(row, run_records.ClientAnswered):
            event = self.events[row.event_id]
            event.status, event.answered_at, event.is_connection_broken = (
                row.status,
                row.at,
                row.is_connection_broken,
            )
        elif isinstance(row, run_records.CallReceived):
            attempt = self.calls[row.call] = Attempt(row)
            self.loads[row.destination].append((row.at, 1.0 + EXTRA_EVENT_LOAD * (len(row.event_ids) - 1)))
            for event_id in row.event_ids:
                if event_id in self.events:
                    self.events[event_id].attempts.append(attempt)
                else:
                    self.unknown_events.append((row.at, event_id))
        elif isinstance(row, run_records.ReplySent):
            attempt = self.calls[row.call]
            attempt.outcome, attempt.replied_at, attempt.retry_after_ms = (
                row.outcome,
                row.at,
                row.retry_after_ms,
            )
        elif isinstance(row, run_records.CallerDisconnected):
            self.calls[row.call].disconnected_at = row.at
        elif isinstance(row, run_records.HealthCheckReceived):
            self.loads[row.destination].append((row.at, 1.0))
        elif isinstance(row, run_records.EndpointStateAnnounced):
            self.announced_states[row.node, row.endpoint].append((row.at, row.state))
        elif isinstance(row, run_records.NotificationReceived) and row.event_id in self.events:
            self.events[row.event_id].notifications.append(row)
        elif isinstance(row, run_records.DestinationChanged):
            self.destination_changes[row.destination].append(row)
        elif isinstance(row, run_records.NodeLifecycleChanged):
            self.lifecycle[row.node].append((row.at, row.state))

    def outcome_due_at(self, node, at):
        """The moment until which a node that was away around `at` may still end what was due then."""
        down_at = None
        for moment, state in self.lifecycle[node]:
            if state in ("killed", "stopping") and down_at is None:
                down_at = moment
            elif state == "ready" and down_at is not None:
                if down_at <= at + OUTCOME_SLACK_MS and at <= moment + READY_SLACK_MS:
                    return moment + READY_SLACK_MS
                down_at = None
        return math.inf if down_at is not None and down_at <= at + OUTCOME_SLACK_MS else at + OUTCOME_SLACK_MS


def check_single_outcome(evidence):
    """Rule 1: each event taken has one final answer in time, and no send after that or its max age."""
    for event in evidence.events.values():
        if event.is_connection_broken and event.status == 0:
            yield (
                Breach(
                    "one end", event.answered_at, f"{event.event_id}: a request fully written got no answer"
                )
                if not _is_away(evidence, event.node, event.answered_at)
                else None
            )
        due_at = evidence.outcome_due_at(event.node, event.expires_at)
        if event.status == 202 and event.outcome_at() > due_at and due_at < evidence.last_record_at:
            yield Breach("one end", due_at, f"{event.event_id}: accepted at {event.node}, no outcome")
        outcomes = {row.outcome for row in event.notifications}
        if len(outcomes) > 1:
            yield Breach(
                "one end",
                event.notifications[-1].at,
                f"{event.event_id}: notified of both {' and '.join(sorted(outcomes))}",
            )
        if (
            "handed_back" in outcomes
            and event.status == 202
            and event.acked_at() < event.notifications[0].at - CLOSE_RACE_MS
            and not _is_away(evidence, event.node, event.acked_at())
        ):
            yield Breach("one end", event.notifications[0].at, f"{event.event_id}: handed back after its ack")
        if event.status is not None and event.status >= 400 and event.attempts:
            yield Breach(
                "one end", event.attempts[0].at, f"{event.event_id}: refused with {event.status}, yet sent"
            )
        for attempt in event.attempts:
            if attempt.first_byte_at > event.expires_at + SLACK_MS:
                yield Breach("one end", attempt.first_byte_at, f"{event.event_id}: sent after its max age")
            notified_at = min([row.at for row in event.notifications], default=math.inf)
            if attempt.first_byte_at > notified_at + SLACK_MS:
                yield Breach(
                    "one end", attempt.first_byte_at, f"{event.event_id}: sent after its outcome was notified"
                )


def _is_away(evidence, node, at):
    """Whether a node was dying, dead or starting around this moment."""
    down_at = None
    for moment, state in evidence.lifecycle[node]:
        if state in ("killed", "stopping"):
            down_at = moment
        elif state == "ready" and down_at is not None:
            if down_at - CLOSE_RACE_MS <= at <= moment + CLOSE_RACE_MS:
                return True
            down_at = None
    return down_at is not None and at >= down_at - CLOSE_RACE_MS


def check_effects(evidence):
    """2: no effect twice, never two attempts in flight."""
    for event in evidence.events.values():
        possible_execution, in_flight_until = None, -math.inf
        for attempt in sorted(event.attempts, key=lambda attempt: attempt.at):
            if attempt.at < in_flight_until - CLOSE_RACE_MS:
                yield Breach(
                    "no effect twice", attempt.at, f"{event.event_id}: two attempts in flight at a time"
                )
            in_flight_until = max(
                in_flight_until, attempt.ended_at() if attempt.ended_at() < math.inf else attempt.at
            )
            if possible_execution is not None:
                yield from _check_retry(event, possible_execution, attempt)
            if possible_execution is None and not attempt.was_rejected():
                possible_execution = attempt
        handed_back = [row for row in event.notifications if row.outcome == "handed_back"]
        if (
            handed_back
            and possible_execution is not None
            and event.stream.effect != "idempotent"
            and not (event.stream.effect == "deduplicated" and event.stream.group == "all")
        ):
            yield Breach(
                "no effect twice", handed_back[0].at, f"{event.event_id}: handed back though it may have run"
            )


def _check_retry(event, possible_execution, attempt):
    effect, window = event.stream.effect, event.stream.window_ms
    if effect == "non-idempotent":
        yield Breach("no effect twice", attempt.at, f"{event.event_id}: sent again though it may have run")
    elif (
        effect == "deduplicated"
        and attempt.first_byte_at > possible_execution.first_byte_at + window + SLACK_MS
    ):
        yield Breach(
            "no effect twice",
            attempt.at,
            f"{event.event_id}: sent again "
            f"{attempt.first_byte_at - possible_execution.first_byte_at:.0f} ms after "
            f"an attempt that may have run, window {window:.0f}",
        )
    elif (
        effect == "deduplicated" and event.stream.group == "zone" and attempt.zone != possible_execution.zone
    ):
        yield Breach("no effect twice", attempt.at, f"{event.event_id}: sent again outside its group")


def check_draining(evidence):
    """3: nothing new to an endpoint that drains or is gone, past the grace."""
    grace = evidence.incident.rules.grace_ms + SLACK_MS
    for event in evidence.events.values():
        for attempt in event.attempts:
            state, state_since = "SERVING", -math.inf
            for at, announced in evidence.announced_states.get((event.node, attempt.endpoint), ()):
                if at <= attempt.first_byte_at:
                    state_since = at if announced != state and state == "SERVING" else state_since
                    state = announced
            if state != "SERVING" and attempt.first_byte_at > state_since + grace:
                yield Breach(
                    "drain",
                    attempt.first_byte_at,
                    f"{event.event_id}: sent to {attempt.endpoint}, "
                    f"{state} for {attempt.first_byte_at - state_since:.0f} ms",
                )


def check_recovery_load(evidence):
    """4: after an outage, the load in any window stays within multiple x present capacity."""
    rules = evidence.incident.rules
    for destination, changes in evidence.destination_changes.items():
        for recovery in [change for change in changes if change.change == "back"]:
            warm_at = recovery.at + rules.warm_up_ms
            next_down_at = min(
                [change.at for change in changes if change.at > recovery.at and change.change == "out"],
                default=math.inf,
            )
            loads = [
                (at, load)
                for at, load in evidence.loads[destination]
                if recovery.at <= at <= min(warm_at, next_down_at)
            ]
            first_in_window, load_in_window = 0, 0.0
            for at, load in loads:
                load_in_window += load
                while loads[first_in_window][0] < at - rules.fall_ms:
                    load_in_window -= loads[first_in_window][1]
                    first_in_window += 1
                warmth = rules.cold_from + (1 - rules.cold_from) * (at - recovery.at) / rules.warm_up_ms
                budget = rules.fall_multiple * recovery.capacity * warmth * rules.fall_ms
                if load_in_window > budget + OVERLOAD_SLACK_CALLS + OVERLOAD_SLACK_SIGMAS * math.sqrt(budget):
                    yield Breach(
                        "fall budget",
                        at,
                        f"destination {destination}: load {load_in_window:.1f} in {rules.fall_ms:.0f} ms, "
                        f"budget {budget:.1f}, {at - recovery.at:.0f} ms after its return",
                    )
                    break


def check_order(evidence):
    """5: events of one subject at one node one at a time, in the order taken."""
    rest_ms = evidence.incident.rules.key_rest_ms
    sequences = defaultdict(list)
    for event in evidence.events.values():
        if event.subject and event.stream.in_order and event.status == 202:
            sequences[event.node, event.subject].append(event)
    for sequence in sequences.values():
        sequence.sort(key=lambda event: event.answered_at)
        for position, event in enumerate(sequence):
            for earlier in sequence[max(0, position - 8) : position]:
                if (
                    earlier.answered_at > event.submitted_at
                    or _is_away(evidence, event.node, event.submitted_at)
                    or any(
                        earlier.answered_at < at < event.expires_at and state in ("killed", "stopping")
                        for at, state in evidence.lifecycle[event.node]
                    )
                ):
                    continue  # which was taken first is not known, or the node has started in between
                free_at = max(
                    [earlier.outcome_at()]
                    + [_subject_free_at(attempt, rest_ms) for attempt in earlier.attempts]
                )
                early_attempts = [attempt for attempt in event.attempts if attempt.at < free_at - SLACK_MS]
                if early_attempts:
                    yield Breach(
                        "order",
                        early_attempts[0].at,
                        f"{event.event_id}: sent before {earlier.event_id} was over",
                    )


def _subject_free_at(attempt, rest_ms):
    if attempt.ended_at() == math.inf:
        return attempt.at
    if attempt.is_acked() or attempt.was_rejected() or attempt.outcome == receiver_model.ERROR:
        return attempt.replied_at
    return attempt.ended_at() + rest_ms


def check_retry_after(evidence):
    """6: after a Retry-After, nothing goes to that destination until it is over."""
    by_node = defaultdict(list)
    for event in evidence.events.values():
        for attempt in event.attempts:
            by_node[event.node, event.destination].append(attempt)
    for (node, destination), attempts in by_node.items():
        attempts.sort(key=lambda attempt: attempt.at)
        waits = sorted(
            {
                (attempt.replied_at, attempt.replied_at + attempt.retry_after_ms)
                for attempt in attempts
                if attempt.retry_after_ms
            }
        )
        starts = [at for at, state in evidence.lifecycle[node] if state == "ready"]
        for replied_at, wait_ends_at in waits:
            # A restart ends the wait.
            wait_ends_at = min([wait_ends_at] + [at for at in starts if at > replied_at])
            for attempt in attempts:
                if replied_at + RETRY_AFTER_SLACK_MS < attempt.first_byte_at < wait_ends_at - SLACK_MS:
                    yield Breach(
                        "told wait",
                        attempt.first_byte_at,
                        f"{node} sent to {destination} {wait_ends_at - attempt.first_byte_at:.0f} ms before "
                        "its Retry-After was over",
                    )
                    break


def check_durability(evidence):
    """Logged before 202: what a killed node had taken is ended by its next life.

    (Rules 1 and 2 see the rest.)
    """
    for node, states in evidence.lifecycle.items():
        kill_times = [at for at, state in states if state == "killed"]
        for killed_at in kill_times:
            ready_at = min(
                [at for at, state in states if state == "ready" and at > killed_at], default=math.inf
            )
            due_at = ready_at + READY_SLACK_MS
            missing = [
                event
                for event in evidence.events.values()
                if event.node == node
                and event.status == 202
                and event.answered_at < killed_at < event.expires_at
                and event.outcome_at() > max(due_at, event.expires_at + OUTCOME_SLACK_MS)
                and max(due_at, event.expires_at + OUTCOME_SLACK_MS) < evidence.last_record_at
            ]
            if missing:
                yield Breach(
                    "logged",
                    killed_at,
                    f"{node}: {len(missing)} events accepted before its kill have no outcome, "
                    f"{missing[0].event_id} first",
                )


def check_known_events(evidence):
    """Nothing is sent that no client submitted, nor to another destination."""
    for at, event_id in evidence.unknown_events:
        yield Breach("own events", at, f"{event_id}: sent, but no client submitted it")
    for event in evidence.events.values():
        for attempt in event.attempts:
            if attempt.destination != event.destination:
                yield Breach(
                    "own events",
                    attempt.at,
                    f"{event.event_id}: for {event.destination}, sent to {attempt.destination}",
                )


RULES = (
    check_single_outcome,
    check_effects,
    check_draining,
    check_recovery_load,
    check_order,
    check_retry_after,
    check_durability,
    check_known_events,
)


def judge(incident, rows):
    """All breaches, in the order of their moments."""
    evidence = Evidence(incident, rows)
    return evidence, sorted(
        (breach for rule in RULES for breach in rule(evidence) if breach), key=lambda breach: breach.at
    )


def utility_of_ack(event_stream, delay_ms):
    """The utility of an ack so long after the event's first submission."""
    if delay_ms <= event_stream.slo_ms:
        return event_stream.utility
    if delay_ms > event_stream.max_age_ms:
        return 0.0
    late_share = (delay_ms - event_stream.slo_ms) / max(1.0, event_stream.max_age_ms - event_stream.slo_ms)
    return event_stream.utility * (1.0 - (1.0 - event_stream.late_utility) * late_share)


class ServiceMeasure:
    """The service measure: utility acked over utility submitted, counting first submissions alone."""

    def __init__(self, evidence):
        self.offered, self.earned, self.by_second = 0.0, 0.0, defaultdict(lambda: [0.0, 0.0])
        self.counts = defaultdict(int)
        first_submissions, acked_at_by_id = {}, {}
        for event in evidence.events.values():
            if event.event_id == event.original_id:
                first_submissions[event.original_id] = event
            if event.status == 202 or event.acked_at() < math.inf and event.status is None:
                acked_at_by_id[event.original_id] = min(
                    acked_at_by_id.get(event.original_id, math.inf), event.acked_at()
                )
            self.counts[{202: "taken", None: "unheard", 0: "unheard"}.get(event.status, "refused")] += 1
        for original_id, event in first_submissions.items():
            offered = event.stream.utility
            earned = utility_of_ack(
                event.stream, acked_at_by_id.get(original_id, math.inf) - event.scheduled_at
            )
            self.offered, self.earned = self.offered + offered, self.earned + earned
            row = self.by_second[int(event.scheduled_at // 1000.0)]
            row[0], row[1] = row[0] + offered, row[1] + earned
        self.counts["events"], self.counts["acked"] = (
            len(first_submissions),
            sum(at < math.inf for at in acked_at_by_id.values()),
        )
        for attempt in evidence.calls.values():
            self.counts["send " + (attempt.outcome or "unanswered")] += 1
        for event in evidence.events.values():
            for outcome in {row.outcome for row in event.notifications}:
                self.counts[outcome] += 1

    def measure(self):
        return self.earned / self.offered if self.offered else 0.0
