"""Judges a run by the rules, from what clients were told and what endpoints and the platform saw.

It shares no code with the node, and believes nothing that a node says of itself. Each rule is one function
over the `Case`; each breach names its rule, its moment and what was seen. The rules are those of the README
of the laboratory, docs/lab.md; a send that "may have run" is one not refused, not unreached.
"""

import math
from collections import defaultdict
from typing import NamedTuple

from swiftthread.lab import model, records

SLACK_MS = 50.0  # ms: every time limit is longer by this, for what was on its way
END_SLACK_MS = 300.0  # ms after the max age within which the end must be known
READY_SLACK_MS = 1500.0  # ms after a restarted node is ready within which overdue ends must be known
TOLD_SLACK_MS = 100.0  # ms after a told wait was written in which calls were under way already
RACE_MS = 50.0  # ms for which an answer and its caller's close may cross
RIDER = 0.05  # load of one more event in a call
SLACK_CALLS, SLACK_SIGMA = (
    3.0,
    3.0,
)  # chance that a fall budget leaves room for, as calls and x their square root


class Breach(NamedTuple):
    """One broken rule: which, when, and what was seen."""

    rule: str
    at: float
    text: str


class Send:
    """One call as far as one event is concerned."""

    __slots__ = ("at", "began", "endpoint", "dest", "hall", "said", "said_at", "wait", "left_at")

    def __init__(self, row):
        self.at, self.began, self.endpoint, self.dest, self.hall = (
            row.at,
            row.began,
            row.endpoint,
            row.dest,
            row.hall,
        )
        self.said, self.said_at, self.wait, self.left_at = None, math.inf, 0.0, math.inf

    def over_at(self):
        """When it was no longer out on an open connection."""
        return min(self.said_at, self.left_at)

    def never_ran(self):
        return self.said in (model.FULL, model.SHUT)

    def acked(self):
        return self.said == model.DONE


class Taken:
    """One hand-in and all that became of it."""

    def __init__(self, row, stream):
        self.ident, self.origin, self.node, self.dest, self.stream = (
            row.ident,
            row.origin,
            row.node,
            row.dest,
            stream,
        )
        self.subject, self.ends_at, self.handed_at, self.due = row.subject, row.ends_at, row.at, row.due
        self.status, self.heard_at, self.broke, self.sends, self.notices = None, math.inf, False, [], []

    def acked_at(self):
        """When its first line with 200 was written; inf when none was."""
        return min([send.said_at for send in self.sends if send.acked()], default=math.inf)

    def end_at(self):
        return min([self.acked_at()] + [row.at for row in self.notices])


class Case:
    """The rows of a run, put together."""

    def __init__(self, script, rows):
        self.script, self.taken, self.calls = script, {}, {}
        self.told, self.turned, self.lives = defaultdict(list), defaultdict(list), defaultdict(list)
        self.loads, self.unknown, self.until = defaultdict(list), [], rows[-1].at if rows else 0.0
        streams = {stream.name: stream for stream in script.stream}
        # Clients write a hand-in before its first byte and an answer after its last, whatever file comes
        # first.
        for row in rows:
            if isinstance(row, records.HandedIn):
                self.taken[row.ident] = Taken(row, streams[row.stream])
        for row in rows:
            self._note(row)

    def _note(self, row):
        if isinstance(row, records.Heard):
            taken = self.taken[row.ident]
            taken.status, taken.heard_at, taken.broke = row.status, row.at, row.broke
        elif isinstance(row, records.Arrived):
            send = self.calls[row.call] = Send(row)
            self.loads[row.dest].append((row.at, 1.0 + RIDER * (len(row.idents) - 1)))
            for ident in row.idents:
                if ident in self.taken:
                    self.taken[ident].sends.append(send)
                else:
                    self.unknown.append((row.at, ident))
        elif isinstance(row, records.Replied):
            send = self.calls[row.call]
            send.said, send.said_at, send.wait = row.said, row.at, row.wait_ms
        elif isinstance(row, records.Left):
            self.calls[row.call].left_at = row.at
        elif isinstance(row, records.Probed):
            self.loads[row.dest].append((row.at, 1.0))
        elif isinstance(row, records.Told):
            self.told[row.node, row.endpoint].append((row.at, row.state))
        elif isinstance(row, records.Noticed) and row.ident in self.taken:
            self.taken[row.ident].notices.append(row)
        elif isinstance(row, records.Turned):
            self.turned[row.dest].append(row)
        elif isinstance(row, records.Life):
            self.lives[row.node].append((row.at, row.what))

    def excused_until(self, node, at):
        """The moment until which a node that was away around `at` may still end what was due then."""
        down = None
        for moment, what in self.lives[node]:
            if what in ("killed", "stopping") and down is None:
                down = moment
            elif what == "ready" and down is not None:
                if down <= at + END_SLACK_MS and at <= moment + READY_SLACK_MS:
                    return moment + READY_SLACK_MS
                down = None
        return math.inf if down is not None and down <= at + END_SLACK_MS else at + END_SLACK_MS


def ends(case):
    """Rule 1: each event taken has one final answer in time, and no send after that or its max age."""
    for event in case.taken.values():
        if event.broke and event.status == 0:
            yield (
                Breach("one end", event.heard_at, f"{event.ident}: a request fully written got no answer")
                if not _away(case, event.node, event.heard_at)
                else None
            )
        by = case.excused_until(event.node, event.ends_at)
        if event.status == 202 and event.end_at() > by and by < case.until:
            yield Breach("one end", by, f"{event.ident}: taken at {event.node}, no end")
        outcomes = {row.outcome for row in event.notices}
        if len(outcomes) > 1:
            yield Breach(
                "one end", event.notices[-1].at, f"{event.ident}: told both {' and '.join(sorted(outcomes))}"
            )
        if (
            "handed_back" in outcomes
            and event.status == 202
            and event.acked_at() < event.notices[0].at - RACE_MS
            and not _away(case, event.node, event.acked_at())
        ):
            yield Breach("one end", event.notices[0].at, f"{event.ident}: handed back after its ack")
        if event.status is not None and event.status >= 400 and event.sends:
            yield Breach(
                "one end", event.sends[0].at, f"{event.ident}: refused with {event.status}, yet sent"
            )
        for send in event.sends:
            if send.began > event.ends_at + SLACK_MS:
                yield Breach("one end", send.began, f"{event.ident}: sent after its max age")
            told = min([row.at for row in event.notices], default=math.inf)
            if send.began > told + SLACK_MS:
                yield Breach("one end", send.began, f"{event.ident}: sent after its end was told")


def _away(case, node, at):
    """Whether a node was dying, dead or starting around this moment."""
    down = None
    for moment, what in case.lives[node]:
        if what in ("killed", "stopping"):
            down = moment
        elif what == "ready" and down is not None:
            if down - RACE_MS <= at <= moment + RACE_MS:
                return True
            down = None
    return down is not None and at >= down - RACE_MS


def effects(case):
    """2: no effect twice, never two sends out."""
    for event in case.taken.values():
        maybe, out_until = None, -math.inf
        for send in sorted(event.sends, key=lambda send: send.at):
            if send.at < out_until - RACE_MS:
                yield Breach("no effect twice", send.at, f"{event.ident}: two sends out at a time")
            out_until = max(out_until, send.over_at() if send.over_at() < math.inf else send.at)
            if maybe is not None:
                yield from _resent(event, maybe, send)
            if maybe is None and not send.never_ran():
                maybe = send
        back = [row for row in event.notices if row.outcome == "handed_back"]
        if (
            back
            and maybe is not None
            and event.stream.effect != "idempotent"
            and not (event.stream.effect == "deduplicated" and event.stream.group == "all")
        ):
            yield Breach("no effect twice", back[0].at, f"{event.ident}: handed back though it may have run")


def _resent(event, maybe, send):
    effect, window = event.stream.effect, event.stream.window_ms
    if effect == "non-idempotent":
        yield Breach("no effect twice", send.at, f"{event.ident}: sent again though it may have run")
    elif effect == "deduplicated" and send.began > maybe.began + window + SLACK_MS:
        yield Breach(
            "no effect twice",
            send.at,
            f"{event.ident}: sent again {send.began - maybe.began:.0f} ms after "
            f"a send that may have run, window {window:.0f}",
        )
    elif effect == "deduplicated" and event.stream.group == "zone" and send.hall != maybe.hall:
        yield Breach("no effect twice", send.at, f"{event.ident}: sent again outside its group")


def drains(case):
    """3: nothing new to an endpoint that drains or is gone, past the grace."""
    grace = case.script.rules.grace_ms + SLACK_MS
    for event in case.taken.values():
        for send in event.sends:
            state, since = "SERVING", -math.inf
            for at, told in case.told.get((event.node, send.endpoint), ()):
                if at <= send.began:
                    since = at if told != state and state == "SERVING" else since
                    state = told
            if state != "SERVING" and send.began > since + grace:
                yield Breach(
                    "drain",
                    send.began,
                    f"{event.ident}: sent to {send.endpoint}, {state} for {send.began - since:.0f} ms",
                )


def falls(case):
    """4: after an outage, the load in any window stays within multiple x present capacity."""
    rules = case.script.rules
    for dest, turns in case.turned.items():
        for turn in [row for row in turns if row.what == "back"]:
            end = turn.at + rules.warm_up_ms
            next_out = min(
                [row.at for row in turns if row.at > turn.at and row.what == "out"], default=math.inf
            )
            loads = [(at, load) for at, load in case.loads[dest] if turn.at <= at <= min(end, next_out)]
            first, seen = 0, 0.0
            for at, load in loads:
                seen += load
                while loads[first][0] < at - rules.fall_ms:
                    seen -= loads[first][1]
                    first += 1
                warmth = rules.cold_from + (1 - rules.cold_from) * (at - turn.at) / rules.warm_up_ms
                budget = rules.fall_multiple * turn.capacity * warmth * rules.fall_ms
                if seen > budget + SLACK_CALLS + SLACK_SIGMA * math.sqrt(budget):
                    yield Breach(
                        "fall budget",
                        at,
                        f"destination {dest}: load {seen:.1f} in {rules.fall_ms:.0f} ms, "
                        f"budget {budget:.1f}, {at - turn.at:.0f} ms after its return",
                    )
                    break


def order(case):
    """5: events of one subject at one node one at a time, in the order taken."""
    rest = case.script.rules.key_rest_ms
    lines = defaultdict(list)
    for event in case.taken.values():
        if event.subject and event.stream.in_order and event.status == 202:
            lines[event.node, event.subject].append(event)
    for line in lines.values():
        line.sort(key=lambda event: event.heard_at)
        for place, event in enumerate(line):
            for earlier in line[max(0, place - 8) : place]:
                if (
                    earlier.heard_at > event.handed_at
                    or _away(case, event.node, event.handed_at)
                    or any(
                        earlier.heard_at < at < event.ends_at and what in ("killed", "stopping")
                        for at, what in case.lives[event.node]
                    )
                ):
                    continue  # which was taken first is not known, or the node has started in between
                free = max([earlier.end_at()] + [_rested(send, rest) for send in earlier.sends])
                early = [send for send in event.sends if send.at < free - SLACK_MS]
                if early:
                    yield Breach("order", early[0].at, f"{event.ident}: sent before {earlier.ident} was over")


def _rested(send, rest):
    if send.over_at() == math.inf:
        return send.at
    if send.acked() or send.never_ran() or send.said == model.ERROR:
        return send.said_at
    return send.over_at() + rest


def waits(case):
    """6: told to wait, nothing goes to that destination until it is over."""
    by_node = defaultdict(list)
    for event in case.taken.values():
        for send in event.sends:
            by_node[event.node, event.dest].append(send)
    for (node, dest), sends in by_node.items():
        sends.sort(key=lambda send: send.at)
        told = sorted({(send.said_at, send.said_at + send.wait) for send in sends if send.wait})
        starts = [at for at, what in case.lives[node] if what == "ready"]
        for since, until in told:
            until = min([until] + [at for at in starts if at > since])  # a restart ends the wait
            for send in sends:
                if since + TOLD_SLACK_MS < send.began < until - SLACK_MS:
                    yield Breach(
                        "told wait",
                        send.began,
                        f"{node} sent to {dest} {until - send.began:.0f} ms before "
                        "the wait it was told was over",
                    )
                    break


def logged(case):
    """Logged before 202: what a killed node had taken is ended by its next life.

    (Rules 1 and 2 see the rest.)
    """
    for node, lives in case.lives.items():
        kills = [at for at, what in lives if what == "killed"]
        for kill in kills:
            back = min([at for at, what in lives if what == "ready" and at > kill], default=math.inf)
            by = back + READY_SLACK_MS
            owed = [
                event
                for event in case.taken.values()
                if event.node == node
                and event.status == 202
                and event.heard_at < kill < event.ends_at
                and event.end_at() > max(by, event.ends_at + END_SLACK_MS)
                and max(by, event.ends_at + END_SLACK_MS) < case.until
            ]
            if owed:
                yield Breach(
                    "logged",
                    kill,
                    f"{node}: {len(owed)} events taken before its kill have no end, {owed[0].ident} first",
                )


def strangers(case):
    """Nothing goes out that no client handed in, nor to another destination."""
    for at, ident in case.unknown:
        yield Breach("own events", at, f"{ident}: sent, but no client handed it in")
    for event in case.taken.values():
        for send in event.sends:
            if send.dest != event.dest:
                yield Breach("own events", send.at, f"{event.ident}: for {event.dest}, sent to {send.dest}")


RULES = (ends, effects, drains, falls, order, waits, logged, strangers)


def judge(script, rows):
    """All breaches, in the order of their moments."""
    case = Case(script, rows)
    return case, sorted(
        (breach for rule in RULES for breach in rule(case) if breach), key=lambda breach: breach.at
    )


def worth(event_stream, late_ms):
    """The utility of an ack so long after the event's first hand-in."""
    if late_ms <= event_stream.slo_ms:
        return event_stream.utility
    if late_ms > event_stream.max_age_ms:
        return 0.0
    part = (late_ms - event_stream.slo_ms) / max(1.0, event_stream.max_age_ms - event_stream.slo_ms)
    return event_stream.utility * (1.0 - (1.0 - event_stream.late_utility) * part)


class Service:
    """The service measure: utility acked over utility handed in, counting first hand-ins alone."""

    def __init__(self, case):
        self.offered, self.earned, self.by_second = 0.0, 0.0, defaultdict(lambda: [0.0, 0.0])
        self.counts = defaultdict(int)
        firsts, acked = {}, {}
        for event in case.taken.values():
            if event.ident == event.origin:
                firsts[event.origin] = event
            if event.status == 202 or event.acked_at() < math.inf and event.status is None:
                acked[event.origin] = min(acked.get(event.origin, math.inf), event.acked_at())
            self.counts[{202: "taken", None: "unheard", 0: "unheard"}.get(event.status, "refused")] += 1
        for origin, event in firsts.items():
            most = event.stream.utility
            got = worth(event.stream, acked.get(origin, math.inf) - event.due)
            self.offered, self.earned = self.offered + most, self.earned + got
            row = self.by_second[int(event.due // 1000.0)]
            row[0], row[1] = row[0] + most, row[1] + got
        self.counts["events"], self.counts["acked"] = len(firsts), sum(at < math.inf for at in acked.values())
        for send in case.calls.values():
            self.counts["send " + (send.said or "unanswered")] += 1
        for event in case.taken.values():
            for outcome in {row.outcome for row in event.notices}:
                self.counts[outcome] += 1

    def measure(self):
        return self.earned / self.offered if self.offered else 0.0
