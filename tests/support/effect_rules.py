"""Checks that no event had its effect twice.

From the calls that endpoints saw, the effects by idempotency key, and the notified outcomes.
"""

from typing import NamedTuple

SLACK_S = 0.05  # by which every time limit on sockets is longer, as the protocol says


class ReceivedCall(NamedTuple):
    """A call at an endpoint.

    `at`: Unix s at which its last byte had come; `ran`: False if it surely had no effect.
    """

    at: float
    ident: str
    key: str
    zone: str
    ran: bool


class EffectRules(NamedTuple):
    """Contract of a stream type. `group`: None where no endpoint recognises repeats."""

    once: bool  # its effect may happen only once
    group: str | None = None  # "zone" or "all"
    window_s: float = 0.0


def find_violations(calls, rules, notices):
    """A line for each violation, in order of time.

    `rules`: event id -> EffectRules; `notices`: rows (Unix s, id, outcome).
    """
    found, first, effects = [], {}, {}
    ended = {ident: (at, outcome) for at, ident, outcome in reversed(notices)}
    for call in sorted(calls):
        rule = rules[call.ident]
        if call.ident in ended and call.at > ended[call.ident][0] + SLACK_S:
            found.append(f"{call.at:.3f} {call.ident} was sent after it was {ended[call.ident][1]}")
        if not rule.once:
            continue
        before = first.get(call.ident)
        if before and rule.group is None:
            found.append(f"{call.at:.3f} {call.ident} was sent again, and may have run at {before.at:.3f}")
        elif before and rule.group == "zone" and call.zone != before.zone:
            found.append(
                f"{call.at:.3f} {call.ident} was sent to zone {call.zone}, and may have run in {before.zone}"
            )
        elif before and call.at > before.at + rule.window_s + SLACK_S:
            found.append(
                f"{call.at:.3f} {call.ident} was sent {call.at - before.at:.3f} s "
                f"after a send that may have run"
            )
        if call.ran:
            first.setdefault(call.ident, call)
            _effect(found, effects, rule, call)
    for at, ident, outcome in notices:
        if outcome == "handed_back" and ident in first and rules[ident].group != "all":
            found.append(f"{at:.3f} {ident} was handed back, and may have run at {first[ident].at:.3f}")
    return found


def _effect(found, effects, rule, call):
    """Note the effect of a call, unless it is a repeat that its group recognises.

    Two effects of one key are a violation.
    """
    known = [
        at
        for at, zone in effects.get(call.key, ())
        if rule.group == "all" or rule.group == "zone" and zone == call.zone
    ]
    if any(call.at <= at + rule.window_s + SLACK_S for at in known):
        return
    if effects.setdefault(call.key, []):
        found.append(f"{call.at:.3f} {call.ident}: key {call.key} had its effect a second time")
    effects[call.key].append((call.at, call.zone))
