"""Checks that no event has its effect twice.

The check uses the calls that endpoints received, the effects by idempotency key and the notified outcomes.
"""

from typing import NamedTuple

SLACK_S = 0.05  # tolerance that the protocol adds to every time limit on sockets


class ReceivedCall(NamedTuple):
    """A call that an endpoint received.

    `received_at` is the Unix time in s at which its last byte arrived. `may_have_run` is False only if the
    call had no effect.
    """

    received_at: float
    event_id: str
    key: str
    zone: str
    may_have_run: bool


class EffectRules(NamedTuple):
    """The contract of a stream type.

    `deduplication_group` is None if no endpoint recognises repeated calls.
    """

    has_single_effect: bool  # whether the effect may happen only once
    deduplication_group: str | None = None  # "zone" or "all"
    deduplication_window_s: float = 0.0


def find_violations(calls, rules, notifications):
    """Return a line for each violation: those of calls in order of time, then those of notifications.

    `rules` maps event ids to EffectRules; `notifications` are tuples (Unix time in s, event id, outcome).
    """
    violations, first_calls, effects = [], {}, {}
    final_outcomes = {event_id: (at, outcome) for at, event_id, outcome in reversed(notifications)}
    for call in sorted(calls):
        rule = rules[call.event_id]
        if call.event_id in final_outcomes and call.received_at > final_outcomes[call.event_id][0] + SLACK_S:
            violations.append(
                f"{call.received_at:.3f} {call.event_id} was sent "
                f"after it was {final_outcomes[call.event_id][1]}"
            )
        if not rule.has_single_effect:
            continue
        earlier = first_calls.get(call.event_id)
        if earlier and rule.deduplication_group is None:
            violations.append(
                f"{call.received_at:.3f} {call.event_id} was sent again, "
                f"and may have run at {earlier.received_at:.3f}"
            )
        elif earlier and rule.deduplication_group == "zone" and call.zone != earlier.zone:
            violations.append(
                f"{call.received_at:.3f} {call.event_id} was sent to zone {call.zone}, "
                f"and may have run in {earlier.zone}"
            )
        elif earlier and call.received_at > earlier.received_at + rule.deduplication_window_s + SLACK_S:
            violations.append(
                f"{call.received_at:.3f} {call.event_id} was sent "
                f"{call.received_at - earlier.received_at:.3f} s after a send that may have run"
            )
        if call.may_have_run:
            first_calls.setdefault(call.event_id, call)
            _record_effect(violations, effects, rule, call)
    for at, event_id, outcome in notifications:
        if (
            outcome == "handed_back"
            and event_id in first_calls
            and rules[event_id].deduplication_group != "all"
        ):
            violations.append(
                f"{at:.3f} {event_id} was handed back, "
                f"and may have run at {first_calls[event_id].received_at:.3f}"
            )
    return violations


def _record_effect(violations, effects, rule, call):
    """Record the effect of a call, unless its deduplication group recognises it as a repeated call.

    A second effect of one key is a violation.
    """
    effect_times = [
        at
        for at, zone in effects.get(call.key, ())
        if rule.deduplication_group == "all" or rule.deduplication_group == "zone" and zone == call.zone
    ]
    if any(call.received_at <= at + rule.deduplication_window_s + SLACK_S for at in effect_times):
        return
    if effects.setdefault(call.key, []):
        violations.append(
            f"{call.received_at:.3f} {call.event_id}: key {call.key} had its effect a second time"
        )
    effects[call.key].append((call.received_at, call.zone))
