"""Every decision of swiftthread, for one delivery node that sees only its own traffic.

A caller builds one `Dispatcher`, hands in events (`take`) and what it learns (`listed`, `list_failed`,
`withdrawn`, `probed`), has the events that may be asked for put `in_order`, and makes three calls: `where`
(a send, later, a decline or a discard), `after` (what an outcome means for the event) and `wait` (when to
ask again after "later"). `probes`, `closes`, `wants_list`, `next_moment`: once a turn. Plain values:
plain.py. The design, what was kept and changed: docs/design.md.
"""

import hashlib
import math
import random
from collections import deque

from swiftthread.plain import (
    ACKED,
    CANCELLED,
    DEDUPLICATED,
    ERROR,
    FULL,
    IDEMPOTENT,
    KEPT,
    NEVER_RAN,
    NON_IDEMPOTENT,
    RESET,
    TABLE_FULL,
    TIMEOUT,
    UNREACHED,
    UNSENT,
    Call,
    Decline,
    Destination,
    Discard,
    Event,
    Later,
    Send,
    Settings,
    Wait,
)
from swiftthread.statistics import RecentCount, SlidingMedian, SmoothedRate

# Constants. Those marked "page" are the design page's, the rest are ours.
GROW = 0.08  # x first rate each second: clean growth past the level; slow beside a halving
SEARCH_MS, SEARCH_MOST = 2000.0, 8.0  # ms since a cut for x1 of its growth, and most; 2 to 2,000/s in 20 s
MOST_RATE = 1.5  # x listed: no node needs more than all of it, and the list may be somewhat low
CUT = 0.5  # page: a refusal, an error run or risen latency halves the rate
LEVEL_KEPT = 0.9  # x level: what a refusal leaves of the level that clean seconds lead back to
CLEAN_MS = 1000.0  # page: a clean second doubles the rate; also the least time between two cuts
ROUGH_SURE = 0.7  # of a roughly listed rate: it may be up to half too high
LEAST_RATE = 0.001  # calls per ms, page: an unpaced key's first cut never goes under one a second
BURST = 0.3  # intervals: little burst tolerance, one call early
SLACK_MS = 20.0  # ms past its moment in which a slot counts as kept; a few turns of the caller
RIDER = 0.05  # of an interval: what one more event in a call costs; it is work, not a call
ALONE_MS = 1000.0  # ms without an ack after which one unanswered or unreached call tells of an outage
ERROR_RUN = 3  # calls failing in a row, none between: an error run; two can be chance
WINDOW, RISEN = 24, 2.0  # latencies for a median, at a cv of 1.4; page: risen is over this many times its low
RISE_MS = 40.0  # ms: a rise by less harms no SLO time; calls that leave together wait for each other
USUAL_MS = 350.0  # ms: latency assumed before the first was seen
MOSTLY_BAD = 0.6  # share of failed calls, smoothed, from which a sink counts as failing
SMOOTH = 0.15  # weight of the newest call in that share; about the last dozen calls
QUIET_MS, QUIET_CALLS = 700.0, 4.0  # ms, x usual latency: no outcome for both is quiet; over a brief stall
TRY_MS = 300.0  # ms: least pause before a failing sink is tried; a few round trips
ALLOW_MS, ALLOW_CALLS, ALLOW_MOST_MS = 1200.0, 8.0, 6000.0  # ms + x usual latency, at most; a long tail's p99
ALLOW_REST = 0.6  # of the repeat window or the rest of the max age, so that another send fits inside
USUAL_SPAN_MS = 10000.0  # ms: span of the smoothed rate of acked calls, this node's usual part of a key
BUSY = 0.33  # of the SLO time (mean by utility): nodes with an event in it share a key's rate
AT_ONCE = 0.5  # of the time for a connect: one that fails sooner was refused, not unanswered
CROWDED_MS = 20000.0  # ms for which a refused connect says that the endpoint's table is short of room
USED, PLACE_MS = 0.2, 50.0  # share of the time from which a connection is kept: in use, or being made anew
FELL = 0.6  # of the limit held true: a told limit below that is a fall, not noise
SHUT_MS, REFUSED_RUN = 2100.0, 1  # ms told to wait, or refused in a row for that long: shut; fewer are chance
SHUN_MS = 5000.0  # ms for which a stream type goes past an endpoint that failed it; some SLO times
SCARCE = 0.7  # of the slots: from here no destination may take more than half of those out
PUSHED_PAUSE_MS = 200.0  # ms, mean, before a list is asked for again of a local agent
ASKED_PAUSE_MS = 1000.0  # the same of a discovery that all nodes share; doubled by each failure
PAUSE_SPREAD = 0.5  # of that pause, either way: nodes that lost their lists together must not ask together
CROWDED = 0.92  # of the holding room: from here the longest queues are declined
MARGIN_MS = 12.0  # ms before a bound at which the event is answered; two turns of the caller


class Key:
    """One due moment: a destination, or a route where routes are kept apart."""

    def __init__(self, listed, nodes, sure, busy, longest):
        self.due = self.blocked = self.changed = self.cut_at = self.pressed = -math.inf
        self.named = self.even = self.fair = self.crowd = self.listed = None
        self.busy, self.sure = busy, sure  # ms in which nodes share the rate; trust in the list
        self.longest = longest  # ms for which an event may wait here
        if listed:
            self.hold_true(listed, nodes, sure)
        self.rate = self.level = self.even  # None: unpaced until the first cut
        self.acks, self.usual_rate = RecentCount(CLEAN_MS), SmoothedRate(USUAL_SPAN_MS)
        self.latency, self.low = SlidingMedian(WINDOW, USUAL_MS), None
        self.run, self.left, self.served = 0, 1.0, True  # served: an ack since the last cut
        self.ride = (None, -math.inf, 0)  # call that others may join this turn
        self.owed, self.out_since = (
            0.0,
            -math.inf,
        )  # usual acked calls per ms at its last outage; its beginning
        self.cold_due = -math.inf  # the next cold send

    def hold_true(self, listed, nodes, sure):
        """Calls per ms; a node's part among all (`fair`), those busy (`even`), those that wait (`crowd`)."""
        self.listed, self.fair, self.sure = listed, listed / nodes, sure
        self.even, self.crowd = self.among(self.busy, nodes), self.among(self.longest, nodes)

    def among(self, span, nodes):
        """The rate by the nodes that can be expected to have an event here within a span, at the limit."""
        return self.listed / max(1.0, nodes * -math.expm1(-self.listed * span / nodes))

    def ready_at(self):
        return max(self.due - (BURST / self.level if self.rate else 0.0), self.blocked)

    def book(self, now, cost):
        if self.rate:
            slot = self.due if 0 <= now - self.due <= SLACK_MS else max(now, self.due)
            self.due = slot + cost / self.rate

    def cut(self, now, refused):
        if now - self.changed < CLEAN_MS:
            return
        if self.rate is None:
            self.rate = self.level = max(LEAST_RATE / CUT, self.acks.count(now) / CLEAN_MS)
            self.due = now + 1.0 / self.rate  # nothing was booked while it was unpaced
        # Refusals lead to the even part, not below, unless nothing was served since: then the list is wrong.
        due = self.fair * self.sure if self.even and self.served else LEAST_RATE / 4
        if refused:
            self.level = max(min(self.level, max(self.rate, due)) * LEVEL_KEPT, due)
        rate, self.rate, self.changed, self.cut_at = self.rate, max(self.rate * CUT, due * CUT), now, now
        self.served = False
        self.due = max(now, self.due) + 1.0 / self.rate - 1.0 / rate  # what was booked is booked anew

    def acked(self, now, latency, slow_everywhere):
        self.run, self.served = 0, True
        self.usual_rate.add(now)
        self.acks.add(now)
        if self.latency.add(latency):
            self.low = min(self.latency.value, self.low * 1.03 if self.low else self.latency.value)
            # Guards against a rise seen everywhere at once: that is not this destination's overload.
            if self.risen() and not slow_everywhere():
                self.cut(now, False)
        if self.rate is not None and self.rate < self.level:
            if now - self.changed >= CLEAN_MS:
                self.rate, self.changed = min(self.level, self.rate / CUT), now
        elif self.rate is not None and now - self.pressed < CLEAN_MS:
            # Nobody knows an unlisted rate: it grows by a share of itself, faster the longer nothing was cut.
            part = self.even or self.level * min(SEARCH_MOST, (now - self.cut_at) / SEARCH_MS)
            step = GROW * self.left * part / (self.rate * 1000.0)
            most = MOST_RATE * (self.listed or math.inf)
            self.rate = self.level = max(self.rate, min(self.rate + step, most))

    def quiet(self):
        """Ms without an outcome after which calls out are more than slow."""
        return max(QUIET_MS, QUIET_CALLS * self.latency.value)

    def risen(self):
        return self.low is not None and self.latency.value > max(RISEN * self.low, self.low + RISE_MS)


class Sink:
    """One endpoint of a destination, and how this node finds it."""

    def __init__(self, ident, zone, dest, position):
        self.ident, self.zone, self.dest = ident, zone, dest
        # Each node ranks for itself: by one ranking many nodes of little traffic would all take the same.
        self.order = hashlib.blake2b(f"{dest.number}/{ident}/{position}".encode(), digest_size=8).digest()
        self.key, self.ready, self.batch, self.fee = None, False, 1, 0.0
        self.out, self.heard, self.bad, self.run = 0, -math.inf, 0.0, 0
        self.down, self.silent, self.probing, self.proved = False, False, False, False
        self.run_since, self.failed_at, self.acked_at = 0.0, -math.inf, -math.inf
        self.cold_since, self.crowded_at = -math.inf, -math.inf
        self.again_at = -math.inf  # after a full table; an unpaced key has no other pause
        self.shunned = {}  # stream type -> until when; one entry a stream type, emptied by an ack


class Dispatcher:
    """The decisions of one delivery node."""

    def __init__(self, seed, **settings):
        self.told = told = Settings(**settings)
        self.spread = random.Random(seed).uniform
        self.streams, self.nodes, self.position = list(told.streams), max(1, told.nodes), told.position
        self.slots, self.room, self.most_sends = told.slots, told.room * CROWDED, told.most_sends
        utility = sum(s.utility for s in self.streams)
        self.busy = BUSY * sum(s.utility * s.slo_ms for s in self.streams) / utility if utility else 1000.0
        self.fees = [
            fee * utility / max(1, len(self.streams)) for fee in told.carriage_by_zone
        ]  # utility units
        self.has_rates = told.listed_rates in ("nominal", "rough")
        self.longest = max([s.max_age_ms for s in self.streams] or [1e3])
        self.quota = [[1000.0 * self.nodes / q if q else 0.0, 0.0] for q in told.quotas]  # [interval, due]
        self.most_advice = told.most_advice_ms if told.may_advise else 0.0
        self.listing_at = 0.0 if told.asks_for_list else math.inf
        first = ASKED_PAUSE_MS if told.asks_for_list else PUSHED_PAUSE_MS
        # Asked within this time, a node does not count as told of what it has not heard.
        most = told.ask_within_ms / (1 + PAUSE_SPREAD) if told.asks_for_list else 0.0
        self.list_pause, self.list_pauses = first, (first, max(first, most))
        self.sure = ROUGH_SURE if told.listed_rates == "rough" else 1.0
        self.warm_up, self.margin = max(1.0, told.warm_up_ms), max(MARGIN_MS, 2 * told.tick_ms)
        self.dests, self.sinks = {}, {}  # by number, as the list names them; sinks leave when long gone
        self.turns = {}  # subject -> [events in order taken, rest until]; emptied when over and rested
        self.lost = {}  # sinks that are down, in the order they went; emptied by an ack or the list
        self.idle = {}  # sinks whose last call out has ended; emptied each turn
        self.connect, self.out, self.held = AT_ONCE * told.connect_ms, 0, 0

    def take(self, now, stream_no, dest_no, left, tenant=None, subject=0):
        """Hold an event. `tenant`: its place among the quotas; None is none of them."""
        stream, dest = self.streams[stream_no], self.dests.setdefault(dest_no, Destination(dest_no))
        evt = Event(stream, dest, subject * stream.in_order, now, left, self._weight(stream, tenant, now))
        dest.held += 1
        self.held += 1
        if evt.subject:
            for old in [s for s, (line, rest) in self.turns.items() if not line and rest <= now]:
                del self.turns[old]
            self.turns.setdefault(evt.subject, [deque(), -math.inf])[0].append(evt)
        return evt

    def _weight(self, stream, tenant, now):
        if not self.quota:
            return stream.utility
        # Who is no tenant has no share, least of all another's: all of it is beyond one.
        share = self.quota[tenant] if tenant is not None and tenant < len(self.quota) else [0.0, math.inf]
        if share[1] > now + 2000.0:  # over its share by two seconds of it: worth little
            return stream.utility * self.told.over_quota_utility
        share[1] = max(now, share[1]) + share[0] if share[0] else 0.0
        return stream.utility

    def listed(self, entries, whole, now):
        named, grown, self.list_pause = set(), {}, self.list_pauses[0]
        for ident, dest_no, zone, kind, rate, ready in entries:
            dest, blocked = self.dests.setdefault(dest_no, Destination(dest_no)), -math.inf
            apart = bool(kind < len(self.told.apart_by_kind) and self.told.apart_by_kind[kind])
            if (old := self.sinks.get(ident)) and (old.dest is not dest or old.apart != apart):
                self._gone(self.sinks.pop(ident))  # under its id it serves another now, or as another kind
                self.lost.pop(old, None)
                blocked = old.key.blocked if old.dest is dest else blocked
            if ident not in self.sinks and not ready:
                continue
            if ident not in self.sinks:
                self.sinks[ident] = Sink(ident, zone, dest, self.position)
            sink = self.sinks[ident]
            named.add(ident)
            listed = rate / 1000.0 if self.has_rates and rate > 0 else None
            if sink.key is None:
                fresh = apart or not dest.key
                sink.key = Key(listed, self.nodes, self.sure, self.busy, self.longest) if fresh else dest.key
                dest.key = dest.key or sink.key
            elif listed and listed != sink.key.named:
                sink.key.hold_true(listed, self.nodes, self.sure)
            sink.key.named = listed or sink.key.named  # as the list names it, not as reports correct it
            sink.key.blocked = max(sink.key.blocked, blocked)  # a told wait outlasts the change
            sink.apart, sink.ready, sink.zone = apart, ready, zone  # it may come back elsewhere
            sink.batch = self.told.batch_by_kind[kind] if kind < len(self.told.batch_by_kind) else 1
            sink.fee = self.fees[zone] if apart and zone < len(self.fees) else 0.0
            if ready and sink not in dest.sinks:
                grown[dest] = dest.sinks = dest.sinks + [sink]
        for dest in grown:
            dest.sinks.sort(key=lambda s: (s.fee, s.order))
        for sink in [s for s in self.sinks.values() if not s.ready or (whole and s.ident not in named)]:
            self._gone(sink)
            # One that comes back under its id within an outage or a told wait must find both still known.
            known_until = max(sink.heard + 2 * self.warm_up, sink.key.blocked)
            if not sink.out and not sink.probing and now > known_until:
                self.lost.pop(sink, None)
                del self.sinks[sink.ident]

    @staticmethod
    def _gone(sink):
        sink.ready = False
        if sink in sink.dest.sinks:
            sink.dest.sinks.remove(sink)

    def list_failed(self, now):
        """When to ask again: exponential backoff where a call is a load on discovery shared by all nodes.
        Repeated sooner than it can answer all, calls keep it turning them away or answering too late."""
        self.listing_at = now + self.list_pause * self.spread(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
        self.list_pause = min(2 * self.list_pause, self.list_pauses[1])
        return self.listing_at

    def wants_list(self, now):
        if now < self.listing_at:
            return False
        self.listing_at = math.inf
        return True

    def withdrawn(self, evt, now):
        self._end(evt)

    def in_order(self, events, now):
        spans = {dest: self.span(dest, now) for dest in dict.fromkeys(evt.dest for evt in events)}
        return sorted(events, key=lambda evt: self.rank(evt, spans[evt.dest], now))

    def span(self, dest, now):
        """Ms by which the events of a destination are ranked: what its whole queue takes."""
        return min(self.longest, max(1000.0, self.queue(dest, now)))

    def rank(self, evt, span, now):
        """Events of lower rank are asked for first."""
        return -self._urgency(evt, span, now), evt.slo_at

    def turn_at(self, evt, now):
        """When its subject's turn is this event's: `now`, later, or inf: after those before it."""
        if not evt.subject:
            return now
        line, rest = self.turns[evt.subject]
        if line[0] is not evt:
            return math.inf
        return max(rest, now + 1.0) if rest > now and evt.sends == 0 else now

    def fares_with(self, evt):
        """Events of one destination for which this is equal are told the same until one is sent."""
        return evt.stream, evt.maybe_group if self._bound(evt) else None

    def rides(self, dest, now):
        """Whether a call of this turn takes others with it, though maybe not each event."""
        return any(sink.key.ride[1] == now and sink.key.ride[2] > 0 for sink in dest.sinks)

    def full(self):
        return self.out >= self.slots

    def scarce(self):
        """Whether events may wait for a slot that a send of any destination holds."""
        return self.out >= SCARCE * self.slots

    def crowded(self):
        return self.held > self.room

    def where(self, evt, now):
        """Send, Later, Decline or Discard."""
        if self._spent(evt, now) or self.held > self.room and self._longest(evt.dest) and self.harmless(evt):
            return self._give_up(evt, now)
        evt.ask_at, evt.by_outcome = self.last_moment(evt, now), False
        if (turn_at := self.turn_at(evt, now)) > now:
            evt.ask_at, evt.by_outcome = min(evt.ask_at, turn_at), True
            return Later()
        sink, moment, joins = self._pick(evt, now)
        if sink is None:
            evt.ask_at, evt.by_outcome = min(evt.ask_at, moment), moment == math.inf
            return Later()
        return self._send(evt, sink, joins, now)

    def leaves_by(self, evt, sink, now):
        """The moment by which the last byte of a send must have left; -inf when its first may not any more.
        Guards what `where` weighed against the time until a connection is up."""
        if evt.over or not sink.ready or now < sink.key.blocked or not self._in_group(evt, sink):
            return -math.inf
        last = self.last_moment(evt, now)
        return last if now < last else -math.inf

    def after(self, evt, outcome, now, latency, told=0.0, over=False, report=None):
        """What an outcome means for its event: None when it is over, else Later, Decline or Discard."""
        call, sink, evt.call, evt.sink = evt.call, evt.sink, None, None
        call.left -= 1
        evt.sends -= outcome == KEPT
        if call.left == 0:
            self.out, sink.out, self.idle[sink] = self.out - 1, sink.out - 1, True
            if outcome in (UNSENT, KEPT) and not call.learnt and sink.key.rate:
                sink.key.due -= 1.0 / sink.key.rate  # nobody was called: its slot is the next one's
        if told > 0 and outcome != UNSENT:  # each event of a call may be told a wait of its own
            self._told(sink.key, now + told + 1.0)
            if outcome == FULL and told > SHUT_MS and not sink.down:
                self._lose(sink, now, True)
        if outcome in (ERROR, TIMEOUT, RESET):
            sink.shunned[evt.stream] = now + SHUN_MS
        elif outcome == ACKED:
            sink.shunned.pop(evt.stream, None)
        if not call.learnt:
            call.learnt = outcome not in (CANCELLED, UNSENT, KEPT)  # nothing, of one that was not in it
            self._learn(sink, outcome, now, latency, report or {})
        if outcome not in (ACKED, *NEVER_RAN):
            if evt.maybe_at is None:
                evt.maybe_at, evt.maybe_group = evt.sent_at, evt.sent_group
            if evt.subject and outcome != ERROR:
                self.turns[evt.subject][1] = now + self.told.key_rest_ms
        if over or evt.over:
            self._end(evt)
            return None
        evt.ask_at, evt.by_outcome = now, False
        return self._give_up(evt, now) if self._spent(evt, now) else Later()

    def wait(self, evt, now):
        return Wait(max(now, evt.ask_at), evt.by_outcome)

    def probes(self, now):
        """Sinks to probe now: failing ones with events waiting, at the pace of trials."""
        found = [s for s in self.lost if self._wants_probe(s) and s.key.cold_due <= now >= s.key.blocked]
        for sink in found:
            sink.probing, sink.key.cold_due = True, now + self._cold_pause(sink, now)
        return found

    def closes(self, now):
        """Sinks whose idle connections to close now. Guards a connection table that those of many nodes fill:
        one that idles far longer than it is used is a place taken from others. Hurts where the next event
        comes sooner than the last."""
        idle, self.idle = self.idle, {}
        return [s for s in idle if not s.out and (now - s.crowded_at < CROWDED_MS or self._idles(s, now))]

    def _idles(self, sink, now):
        """Whether a connection there would idle most of the time. Not while events wait; where no end of that
        is told it may."""
        used = sink.key.usual_rate.at(now) * max(sink.key.latency.value, PLACE_MS)
        return self.told.keepalive_ms < math.inf and not sink.dest.held and used <= USED

    def _wants_probe(self, sink):
        # Only a sink that went silent: elsewhere an event that is tried loses nothing.
        return (
            self.told.may_probe
            and sink.down
            and sink.silent
            and sink.ready
            and sink.dest.held > 0
            and not (sink.proved or sink.probing or sink.out)
        )

    def probed(self, ident, outcome, now, latency, report=None):
        if sink := self.sinks.get(ident):
            sink.probing, sink.proved = False, sink.probing and outcome == ACKED

    def next_moment(self, now):
        trials = [max(s.key.cold_due, s.key.blocked) for s in self.lost if self._wants_probe(s)]
        return min(m if m > now else math.inf for m in [self.listing_at, *trials])

    def _urgency(self, evt, span, now):
        """The utility a ms that waiting for the queue (`span`) would cost, once late; less while the SLO time
        is far. Guards an overload, where the oldest first would have all of them served too late."""
        late = max(now, evt.slo_at)
        lost = (self._value(evt, late) - self._value(evt, max(now + span, late + 1000.0))) / span
        return lost * math.exp(min(0.0, now + span - 1000.0 - evt.slo_at) / max(200.0, evt.stream.slo_ms))

    def _value(self, evt, at):
        stream, late, worth = evt.stream, max(0.0, at - evt.slo_at), evt.weight * (at <= evt.ends_at)
        if self.told.halving:
            return worth * max(stream.late_utility, 0.5 ** (late / max(1.0, stream.slo_ms)))
        part = min(1.0, late / max(1.0, stream.max_age_ms - stream.slo_ms))
        return worth * (1 - (1 - stream.late_utility) * part)

    @staticmethod
    def group_of(evt, sink):
        """Which endpoints know a repeat of an event sent here, by what outlasts a process: those of its zone,
        or this one alone where the group is none of the pages'."""
        return sink.zone if evt.stream.group in ("all", "zone") else sink.ident

    @staticmethod
    def _bound(evt):
        return evt.maybe_at is not None and evt.stream.effect == DEDUPLICATED and evt.stream.group != "all"

    def _in_group(self, evt, sink):
        return not self._bound(evt) or self.group_of(evt, sink) == evt.maybe_group

    def _pick(self, evt, now):
        """(sink, moment, joins a call): the sink to send to now, or None and when there may be one."""
        rows = []
        for sink in evt.dest.sinks:
            if not self._in_group(evt, sink):
                continue
            call, at, left = sink.key.ride
            if at == now and left > 0 and call.sink is sink and self._shares(evt, sink, now):
                return sink, now, True
            rows.append((sink, self._moment(sink, now)))
        # Guards a stream type that one endpoint fails while it takes others: endpoints that did not are asked
        # first. Hurts where its failures are chance and the others have less room.
        rows = [row for row in rows if row[0].shunned.get(evt.stream, 0.0) <= now] or rows
        if not evt.dest.sinks:
            return None, now + 200.0, False
        busy = sum(sink.out for sink in evt.dest.sinks)
        if self.out >= self.slots or not rows or self.out >= SCARCE * self.slots and busy * 2 >= self.out:
            # The last keeps a destination that hangs from taking the slots of all others before it is quiet.
            return None, math.inf, False
        if rows[0][0].apart:
            # All that wait here wait for the slot of a better route too: the queue's length says how long.
            def worth(row):
                queue = evt.dest.held / row[0].key.rate if row[1] > now and row[0].key.rate else 0.0
                start = max(row[1], now) + queue
                return self._value(evt, start + row[0].key.latency.value) - row[0].fee, -start

            best = max(rows, key=worth)
            if best[1] > now:
                if best[1] < math.inf and best[1] > best[0].key.blocked:
                    best[0].key.pressed = now
                return None, min(moment for _, moment in rows if moment > now), False
            return best[0], now, False
        ready, soonest = [s for s, moment in rows if moment <= now], min(moment for _, moment in rows)
        if not ready:
            if soonest < math.inf:
                evt.dest.key.pressed = now
            return None, soonest, False
        tried = min((s.run for s in ready if s.down), default=0)
        ready = [s for s in ready if not s.down or s.run == tried]
        # The first in rank has enough with its part of the calls that the key keeps busy.
        enough = max(1.0, (evt.dest.key.rate or 0.004) * evt.dest.key.latency.value / len(evt.dest.sinks))
        return next((s for s in ready if s.out < enough), None) or min(ready, key=lambda s: s.out), now, False

    def _moment(self, sink, now):
        """When this sink may get a call: inf means after some outcome."""
        key = sink.key
        if sink.down:
            if sink.out or sink.probing or (self.told.may_probe and sink.silent and not sink.proved):
                return math.inf
            return max(now if sink.proved or not sink.run else key.cold_due, key.ready_at())
        if sink.out and now - sink.heard > key.quiet() * (1 if sink.out > 1 else 2):
            # Bookings never learn when calls end: a silent sink would take slot after slot.
            return math.inf
        cold = now - sink.cold_since < self.warm_up
        return max(key.ready_at(), sink.again_at, key.cold_due if cold else now)

    def _send(self, evt, sink, joins, now):
        key = sink.key
        if joins:
            call, cost = key.ride[0], RIDER
            key.ride = (call, now, key.ride[2] - 1)
        else:
            call, cost = Call(sink), 1.0
            alone = sink.down or not self._shares(evt, sink, now)
            key.ride = (call, now, 0 if alone else sink.batch - 1)
            self.out += 1
            sink.heard = sink.heard if sink.out else now
            sink.out += 1
        key.book(now, cost)
        if sink.down or now - sink.cold_since < self.warm_up:
            # The trial of an endpoint that has not failed itself waits for no moment, and puts none off.
            booked = now if sink.down and not sink.proved else max(now, key.cold_due)
            key.cold_due = booked + cost * self._cold_pause(sink, now)
        call.left += 1
        evt.call, evt.sink, evt.sent_at, evt.sends = call, sink, now, evt.sends + 1
        evt.sent_group = self.group_of(evt, sink)
        return Send(sink, self._allow(evt, sink, now))

    def _cold_pause(self, sink, now):
        """Guards a destination that is out or returns cold: this node's part of the fall budget, for trials,
        probes and events: the mean of its usual share and an even one among the nodes that can have met the
        outage. Both add up, however many nodes there are. Hurts where others leave theirs unused."""
        key, growth = sink.key, (1 - self.told.cold_from) / self.warm_up
        present = self.told.cold_from + (0.0 if sink.down else growth * (now - sink.cold_since))
        busy = max(key.busy, now - key.out_since)
        share = key.among(busy, self.nodes) if key.listed else key.owed or LEAST_RATE
        pause = 2.0 / (self.told.fall_multiple * (key.owed + key.sure * share))  # were it warm
        if sink.down or not growth:
            return self.spread(0.8, 1.2) * pause / present
        # Over which a share that grows with the endpoint amounts to one call.
        return self.spread(0.8, 1.2) * (math.sqrt(present**2 + 2 * growth * pause) - present) / growth

    def _shares(self, evt, sink, now):
        """Whether it may travel with others. Guards them: a call ends for all when the time of one of its
        events is up, and one that has less left than a slow answer takes would break it off for the others.
        Hurts near the end of many events, each of which takes a slot."""
        rest = self._rest(evt, now)
        return rest >= sink.key.quiet() or self._allow(evt, sink, now) < rest

    def _rest(self, evt, now):
        """Ms for which an answer may be waited for: after that there must be time to tell the event's end."""
        return evt.ends_at - self.margin - now

    def _allow(self, evt, sink, now):
        rest = self._rest(evt, now)
        if evt.stream.effect == NON_IDEMPOTENT:
            return max(1.0, rest)  # a time-out would only end it: nothing may follow
        cold = 2.0 if now - sink.cold_since < self.warm_up else 1.0
        allow = min(cold * (ALLOW_MS + ALLOW_CALLS * sink.key.latency.value), ALLOW_MOST_MS)
        most = (
            ALLOW_REST * evt.stream.window_ms
            if evt.stream.effect == DEDUPLICATED
            else max(ALLOW_MS, ALLOW_REST * rest)
        )
        return max(1.0, min(allow, most, rest))

    def _learn(self, sink, outcome, now, latency, report):
        key = sink.key
        if report:
            limit = report.get("x1", 0.0) / 1000.0
            key.left = report.get("x0", 1.0) if limit > 0 else 1.0
            if limit > 0 and key.listed:  # it replaces the listed rate: noise smoothed, a fall at once
                fresh = key.sure < 1.0 or limit < FELL * key.listed
                key.hold_true(key.listed + (limit - key.listed) * (1.0 if fresh else SMOOTH), self.nodes, 1.0)
                key.rate = min(key.rate or math.inf, key.listed)
        if outcome in (CANCELLED, UNSENT, KEPT):
            return
        sink.heard = now
        if outcome == TABLE_FULL:  # neither its limit nor its health: it answered that its table is full
            sink.crowded_at, sink.again_at = now, now + TRY_MS * self.spread(0.5, 1.5)
            return
        if outcome == ACKED:
            sink.acked_at, sink.run, sink.bad = now, 0, sink.bad * (1 - SMOOTH)
            if sink.down:
                # It came back some time since the last failure: in the mean over all nodes, half way.
                began = max(sink.failed_at, key.out_since, key.blocked)
                sink.down, sink.silent, sink.cold_since = False, False, (began + now) / 2
                self.lost.pop(sink, None)
                sink.bad = min(sink.bad, MOSTLY_BAD / 2)
                # The next call waits as it warms, no more as a trial.
                key.cold_due = min(key.cold_due, now + self._cold_pause(sink, now))
            key.acked(now, latency, self._slow_everywhere)
            return
        if outcome == FULL and not sink.down:
            key.cut(now, True)
        elif outcome != FULL:
            # A connect that fails at once, maybe while others are answered, can be a full connection table.
            if outcome == UNREACHED and latency < self.connect:
                sink.crowded_at = now
                if sink.out and now - sink.acked_at < 1000.0:
                    return
            key.run, sink.bad = key.run + 1, sink.bad + SMOOTH * (1 - sink.bad)
        sink.run, sink.run_since, sink.failed_at = sink.run + 1, sink.run_since if sink.run else now, now
        sink.silent, sink.proved = outcome == TIMEOUT, False
        if sink.down:
            return
        if (
            sink.bad > MOSTLY_BAD
            or sink.run >= ERROR_RUN
            and outcome != FULL
            or sink.run > REFUSED_RUN
            and outcome == FULL
            and now - sink.run_since > SHUT_MS
            or (
                outcome == TIMEOUT
                or outcome == UNREACHED
                and latency >= self.connect
                or key.run >= ERROR_RUN
                and outcome in (UNREACHED, ERROR)
            )
            and now - max(sink.acked_at, sink.cold_since + self.warm_up) > ALONE_MS
        ):
            # The last: a node of little traffic may see one call fail in all of an outage, and counts.
            self._lose(sink, now, outcome == FULL)
        elif key.run >= ERROR_RUN and outcome != FULL:
            key.cut(now, False)

    def _lose(self, sink, now, shut):
        """Guards against an outage of the whole destination of which this node sees little: endpoints beside
        it that long acked nothing get one trial, none when shut. Hurts where one endpoint alone is out."""
        if self.sinks.get(sink.ident) is not sink:
            return  # its call outlasted it: another is listed under its id, or none
        key = sink.key
        beside = [s for s in sink.dest.sinks if s.key is key and s is not sink]
        if not any(s.down or now - s.cold_since < self.warm_up for s in [sink, *beside]):
            # It may have begun any time since the last ack, and it does not lessen the usual part.
            key.out_since = max(now - self.warm_up, *(s.acked_at for s in [sink, *beside]))
            key.owed = key.usual_rate.at(sink.run_since if sink.run else now)
        for other in beside:
            if shut or other.acked_at < now - self.warm_up / 2:
                other.down = self.lost[other] = True
                other.run = max(other.run, int(shut))
        sink.down = self.lost[sink] = True
        pause = self._cold_pause(sink, now) * self.spread(0.0, 1.0)
        key.cold_due = max(now, key.blocked) + max(TRY_MS, pause)

    def _told(self, key, until):
        """The page: a told wait blocks the key to its end, and the due moment restarts there."""
        if until > key.blocked:
            key.blocked = until
            if key.even and key.rate:
                # All that were told come back together, and refused calls may use up the limit: its part
                # among those that can have an event waiting here.
                key.rate = min(key.rate, key.crowd * key.sure)
            key.due = max(key.due, until + self.spread(0.0, 1.0) / (key.rate or 0.004))

    def _slow_everywhere(self):
        known = [key for key in {s.key for s in self.sinks.values()} if key.low is not None]
        return len(known) > 2 and sum(key.risen() for key in known) * 2 > len(known)

    def _longest(self, dest):
        return dest.held * sum(1 for d in self.dests.values() if d.held) > self.held

    def last_moment(self, evt, now):
        """When it is given up at the latest."""
        last = evt.ends_at - self.margin
        if evt.maybe_at is not None and evt.stream.effect == DEDUPLICATED:
            last = min(last, evt.maybe_at + evt.stream.window_ms - self.margin)
        return last

    def _spent(self, evt, now):
        return (
            now >= self.last_moment(evt, now)
            or evt.sends >= self.most_sends
            or evt.maybe_at is not None
            and evt.stream.effect == NON_IDEMPOTENT
        )

    def harmless(self, evt):
        """Whether handing it back can do no harm."""
        anywhere = evt.stream.effect == DEDUPLICATED and evt.stream.group == "all"
        return evt.maybe_at is None or evt.stream.effect == IDEMPOTENT or anywhere

    def _give_up(self, evt, now):
        self._end(evt)
        return Decline(self.come_back(evt.dest, now)) if self.harmless(evt) else Discard()

    def come_back(self, dest, now):
        """Ms after which a client had best hand in again for a destination (None: unknown); 0: no advice."""
        return min(self.most_advice, max(500.0, self.queue(dest, now) if dest else 0.0))

    def queue(self, dest, now):
        """Ms until all events held for this destination could be sent, at the present rates."""
        keys = dict.fromkeys([s.key for s in dest.sinks if not s.down] or [s.key for s in dest.sinks])
        rate = sum(key.rate or math.inf for key in keys)
        return dest.held / rate + max(0.0, min(key.blocked for key in keys) - now) if keys else math.inf

    def _end(self, evt):
        if not evt.over:
            evt.over = True
            evt.dest.held -= 1
            self.held -= 1
        if evt.subject and evt.call is None and evt in self.turns[evt.subject][0]:
            self.turns[evt.subject][0].remove(evt)
