"""Many nodes against shared simulated endpoints, on one clock: what each does alone, added up."""

import heapq
import random
from dataclasses import dataclass
from itertools import count

from support.simulated_node import SimulatedNode
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.statistics import RecentCount

RESPONSE_MS = 100.0  # an endpoint's answer
MAX_IDLE_MS = 4000.0  # for which a node's connection idles at most
IMMEDIATE_RESPONSE_MS = 20.0  # an answer without work: a refused connection or a rejection
CONNECTION_REJECTED_MS = 30.0  # until a connection is turned away for a full table


@dataclass
class ConnectionLimitedCall:
    """A call to an endpoint with a bound on connections."""

    at: float
    node: int
    was_served: bool


@dataclass
class OpenConnection:
    """A connection that is idle from one moment on, and closed at another."""

    idle_from: float
    closes_at: float


class ConnectionLimitedEndpoint:
    """An endpoint with a bound on connections: a call needs its node's idle one, or a free place."""

    def __init__(self, max_connections):
        self.max_connections = max_connections
        self.open: dict[int, OpenConnection] = {}
        self.calls: list[ConnectionLimitedCall] = []

    def respond(self, node, now):
        self.open = {owner: line for owner, line in self.open.items() if line.closes_at > now}
        has_idle = node in self.open and self.open[node].idle_from <= now
        was_served = has_idle or len(self.open) < self.max_connections
        if was_served:
            self.open[node] = OpenConnection(now + RESPONSE_MS, now + RESPONSE_MS + MAX_IDLE_MS)
        self.calls.append(ConnectionLimitedCall(now, node, was_served))
        return (
            (RESPONSE_MS, SendOutcome.ACKED)
            if was_served
            else (CONNECTION_REJECTED_MS, SendOutcome.CONNECTION_LIMIT)
        )

    def close(self, node):
        self.open.pop(node, None)

    def rejected_share(self):
        return sum(not call.was_served for call in self.calls) / len(self.calls)


class FleetNode(SimulatedNode):
    """One node of a fleet; its acts stand in the fleet's queue."""

    def __init__(self, fleet, number, entries, endpoints, settings):
        self.fleet = fleet
        self.number = number
        self.endpoints = endpoints
        super().__init__(
            entries,
            lambda ticket, endpoint, now: endpoints[endpoint].respond(number, now),
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
        self.session.answer(event, answer, self.now, self)
        self.session.needs_recheck = True

    def close_idle(self, _node, endpoint):
        self.endpoints[endpoint].close(self.number)


class Fleet:
    """So many nodes that share nothing but the endpoints, which are given by id."""

    def __init__(self, size, entries, endpoints, **settings):
        self.todo = []
        self.turn = count()
        self.nodes = [
            FleetNode(self, number, entries, endpoints, {"node_count": size} | settings)
            for number in range(size)
        ]

    def schedule_load(self, seed, rate, begin, end):
        """Events by chance, so many a second in the mean, each at any node."""
        draw = random.Random(seed)
        ticket = count(1)
        moment = begin
        while (moment := moment + draw.expovariate(rate / 1000.0)) < end:
            node = draw.choice(self.nodes)
            node.schedule(moment, node.submit, next(ticket))

    def run_until(self, end):
        while self.todo and self.todo[0][0] <= end:
            now, _, node, act, args = heapq.heappop(self.todo)
            node.now = now
            act(*args)
            node.session.settle(now, node)
        return self

    def trace_lines(self, word):
        return [line for node in self.nodes for line in node.lines if word in line]


class RecoveringEndpoint:
    """An endpoint that refuses connections for a while, and is cold when it is back."""

    def __init__(self, outage_begins_at, outage_ends_at):
        self.outage_begins_at = outage_begins_at
        self.outage_ends_at = outage_ends_at
        self.calls = []  # moments of the calls since it is back

    def respond(self, _node, now):
        if self.outage_begins_at <= now < self.outage_ends_at:
            return IMMEDIATE_RESPONSE_MS, SendOutcome.UNREACHABLE
        if now >= self.outage_ends_at:
            self.calls.append(now)
        return RESPONSE_MS, SendOutcome.ACKED

    def calls_within(self, begin, end):
        return sum(begin <= moment - self.outage_ends_at < end for moment in self.calls)


class RateLimitedEndpoint:
    """An endpoint that takes so many calls in a second, and counts those that it rejects.

    `retry_after_ms`: the Retry-After of its rejections.
    """

    def __init__(self, per_s, retry_after_ms=0.0):
        self.per_s = per_s
        self.retry_after_ms = retry_after_ms
        self.recent = RecentCount(1000.0)
        self.served = []  # moments
        self.rejected = []  # moments

    def respond(self, _node, now):
        self.recent.add(now)
        if self.recent.count(now) > self.per_s:
            self.rejected.append(now)
            return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED, self.retry_after_ms
        self.served.append(now)
        return RESPONSE_MS, SendOutcome.ACKED
