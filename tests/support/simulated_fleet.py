"""Many nodes against shared simulated endpoints, on one clock: what each does alone, added up."""

import heapq
import random
from dataclasses import dataclass
from itertools import count

from support.simulated_node import SimulatedNode
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.statistics import RecentCount

CALL_MS = 100.0  # an endpoint's answer
IDLE_MS = 4000.0  # for which a node's connection idles at most
PROMPT_MS = 20.0  # an answer without work: a refused connection or a rejection
TABLE_FULL_MS = 30.0  # until a connection is turned away for a full table


@dataclass
class TableCall:
    """A call to an endpoint with a bound on connections."""

    at: float
    node: int
    was_served: bool


@dataclass
class OpenConnection:
    """A connection that is idle from one moment on, and closed at another."""

    idle_from: float
    closes_at: float


class Table:
    """An endpoint with a bound on connections: a call needs its node's idle one, or a free place."""

    def __init__(self, places):
        self.places = places
        self.open: dict[int, OpenConnection] = {}
        self.calls: list[TableCall] = []

    def answer(self, node, now):
        self.open = {owner: line for owner, line in self.open.items() if line.closes_at > now}
        has_idle = node in self.open and self.open[node].idle_from <= now
        was_served = has_idle or len(self.open) < self.places
        if was_served:
            self.open[node] = OpenConnection(now + CALL_MS, now + CALL_MS + IDLE_MS)
        self.calls.append(TableCall(now, node, was_served))
        return (CALL_MS, SendOutcome.ACKED) if was_served else (TABLE_FULL_MS, SendOutcome.CONNECTION_LIMIT)

    def close(self, node):
        self.open.pop(node, None)

    def share_rejected(self):
        return sum(not call.was_served for call in self.calls) / len(self.calls)


class Member(SimulatedNode):
    """One node of a fleet; its acts stand in the fleet's queue."""

    def __init__(self, fleet, number, entries, endpoints, settings):
        self.fleet = fleet
        self.number = number
        self.endpoints = endpoints
        super().__init__(
            entries,
            lambda ticket, endpoint, now: endpoints[endpoint].answer(number, now),
            node_position=number,
            **settings,
        )
        self.session.router.random_uniform = random.Random(number).uniform

    def schedule(self, moment, act, *args):
        heapq.heappush(self.fleet.todo, (moment, next(self.fleet.turn), self, act, args))

    def end_attempt(self, ticket, endpoint, outcome, delay, retry_after_ms=0.0):
        if ticket not in self.session.in_flight:
            return  # it was a call of the process before a restart
        if outcome != SendOutcome.CONNECTION_LIMIT:
            super().end_attempt(ticket, endpoint, outcome, delay, retry_after_ms)
            return
        # Known to sockets alone; the simulator's protocol has no code for it.
        event = self.session.in_flight.pop(ticket)
        answer = self.session.router.record_outcome(event, outcome, self.now, delay)
        self.session.apply_decision(event, answer, self.now, self)
        self.session.needs_recheck = True

    def close_idle(self, _node, endpoint):
        self.endpoints[endpoint].close(self.number)


class Fleet:
    """So many nodes that share nothing but the endpoints, which are given by id."""

    def __init__(self, size, entries, endpoints, **settings):
        self.todo = []
        self.turn = count()
        self.members = [
            Member(self, number, entries, endpoints, {"node_count": size} | settings)
            for number in range(size)
        ]

    def load(self, seed, rate, begin, end):
        """Events by chance, so many a second in the mean, each at any node."""
        draw = random.Random(seed)
        ticket = count(1)
        moment = begin
        while (moment := moment + draw.expovariate(rate / 1000.0)) < end:
            member = draw.choice(self.members)
            member.schedule(moment, member.submit, next(ticket))

    def run_until(self, end):
        while self.todo and self.todo[0][0] <= end:
            now, _, member, act, args = heapq.heappop(self.todo)
            member.now = now
            act(*args)
            member.session.run_cycle(now, member)
        return self

    def lines(self, word):
        return [line for member in self.members for line in member.lines if word in line]


class Returning:
    """An endpoint that refuses connections for a while, and is cold when it is back."""

    def __init__(self, out_at, back_at):
        self.out_at = out_at
        self.back_at = back_at
        self.calls = []  # moments of the calls since it is back

    def answer(self, _node, now):
        if self.out_at <= now < self.back_at:
            return PROMPT_MS, SendOutcome.UNREACHABLE
        if now >= self.back_at:
            self.calls.append(now)
        return CALL_MS, SendOutcome.ACKED

    def within(self, begin, end):
        return sum(begin <= moment - self.back_at < end for moment in self.calls)


class Limited:
    """An endpoint that takes so many calls in a second, and counts those that it rejects.

    `retry_after_ms`: the Retry-After of its rejections.
    """

    def __init__(self, per_s, retry_after_ms=0.0):
        self.per_s = per_s
        self.retry_after_ms = retry_after_ms
        self.recent = RecentCount(1000.0)
        self.served = []  # moments
        self.rejected = []  # moments

    def answer(self, _node, now):
        self.recent.add(now)
        if self.recent.count(now) > self.per_s:
            self.rejected.append(now)
            return PROMPT_MS, SendOutcome.RATE_LIMITED, self.retry_after_ms
        self.served.append(now)
        return CALL_MS, SendOutcome.ACKED
