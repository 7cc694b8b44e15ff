"""Many instances of the decisions against shared stand-ins, on one clock: what each does alone, added up."""

import heapq
import random
from itertools import count

from support.simulated_node import SimulatedNode
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.statistics import RecentCount

CALL_MS, IDLE_MS = 100.0, 4000.0  # ms: an endpoint's answer; a node's connection idles so long at most


class Table:
    """An endpoint with a bound on connections: a call needs its instance's idle one, or a free place."""

    def __init__(self, places):
        self.places, self.open, self.calls = (
            places,
            {},
            [],
        )  # member -> idle from, until; (moment, member, served)

    def answer(self, member, now):
        self.open = {of: span for of, span in self.open.items() if span[1] > now}
        served = member in self.open and self.open[member][0] <= now or len(self.open) < self.places
        if served:
            self.open[member] = (now + CALL_MS, now + CALL_MS + IDLE_MS)
        self.calls.append((now, member, served))
        return (CALL_MS, SendOutcome.ACKED) if served else (30.0, SendOutcome.CONNECTION_LIMIT)

    def close(self, member):
        self.open.pop(member, None)

    def share_crowded(self):
        return sum(not served for _, _, served in self.calls) / len(self.calls)


class Member(SimulatedNode):
    """One instance of a fleet; its script stands in the fleet's."""

    def __init__(self, fleet, number, entries, endpoints, settings):
        self.fleet, self.number, self.endpoints = fleet, number, endpoints
        super().__init__(
            entries,
            lambda ticket, endpoint, now: endpoints[endpoint].answer(number, now),
            node_position=number,
            **settings,
        )
        self.session.router.random_uniform = random.Random(number).uniform

    def at(self, moment, act, *args):
        heapq.heappush(self.fleet.todo, (moment, next(self.fleet.turn), self, act, args))

    def over(self, ticket, endpoint, outcome, delay, told=0.0):
        if (
            outcome != SendOutcome.CONNECTION_LIMIT
        ):  # known to sockets alone; the drill's wire has no word for it
            return super().over(ticket, endpoint, outcome, delay, told)
        event = self.session.in_flight.pop(ticket)
        self.session.answer(
            event, self.session.router.record_outcome(event, outcome, self.now, delay), self.now, self
        )
        self.session.needs_recheck = True

    def close_idle(self, _node, endpoint):
        self.endpoints[endpoint].close(self.number)


class Fleet:
    """So many instances that share nothing but the endpoints, by sink."""

    def __init__(self, size, entries, endpoints, **settings):
        self.todo, self.turn = [], count()
        self.members = [
            Member(self, number, entries, endpoints, {"node_count": size} | settings)
            for number in range(size)
        ]

    def load(self, seed, rate, begin, end):
        """Events by chance, so many a second in the mean, each at any instance."""
        draw, moment, ticket = random.Random(seed), begin, count(1)
        while (moment := moment + draw.expovariate(rate / 1000.0)) < end:
            member = draw.choice(self.members)
            member.at(moment, member.take, next(ticket))

    def play(self, until):
        while self.todo and self.todo[0][0] <= until:
            now, _, member, act, args = heapq.heappop(self.todo)
            member.now = now
            act(*args)
            member.session.settle(now, member)
        return self

    def lines(self, word):
        return [line for member in self.members for line in member.lines if word in line]


class Returning:
    """An endpoint that refuses connections for a while, and is cold when it is back."""

    def __init__(self, out_at, back_at):
        self.out_at, self.back_at = out_at, back_at
        self.calls = []  # moments of the calls since it is back

    def answer(self, _member, now):
        if self.out_at <= now < self.back_at:
            return 20.0, SendOutcome.UNREACHABLE
        if now >= self.back_at:
            self.calls.append(now)
        return CALL_MS, SendOutcome.ACKED

    def within(self, begin, end):
        return sum(begin <= moment - self.back_at < end for moment in self.calls)


class Limited:
    """An endpoint that takes so many calls in a second, and counts those that it refuses.

    `told_ms`: the wait that its refusals tell.
    """

    def __init__(self, per_s, told_ms=0.0):
        self.per_s, self.told_ms = per_s, told_ms
        self.recent = RecentCount(1000.0)
        self.served, self.refused = [], []  # moments

    def answer(self, _member, now):
        self.recent.add(now)
        if self.recent.count(now) > self.per_s:
            self.refused.append(now)
            return 20.0, SendOutcome.RATE_LIMITED, self.told_ms
        self.served.append(now)
        return CALL_MS, SendOutcome.ACKED
