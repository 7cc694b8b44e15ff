"""Many independent simulated nodes that call shared simulated endpoints, on one clock."""

import heapq
import random
from dataclasses import dataclass
from itertools import count

from support.simulated_node import SimulatedNode
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.statistics import RecentCount

RESPONSE_MS = 100.0  # latency of an ack
MAX_IDLE_MS = 4000.0  # idle timeout of a connection
IMMEDIATE_RESPONSE_MS = 20.0  # latency of a refused connection or a rejection
CONNECTION_REJECTED_MS = 30.0  # latency of a connection that is rejected at the connection limit


class SimulatedEndpoint:
    """An endpoint that the nodes of a fleet share; `respond(node, now)` returns the response to a call."""

    def close(self, node):
        """Close the idle connection of a node."""

    def record_outcome(self, node, outcome, sent_at):
        """Observe that a node learned the outcome of a call or health check that it sent at `sent_at`."""


@dataclass
class ConnectionLimitedCall:
    """A call to an endpoint with a connection limit."""

    received_at: float
    node: int
    was_served: bool


@dataclass
class OpenConnection:
    """A connection that becomes idle at one time and is closed at another."""

    idle_since: float
    closes_at: float


class ConnectionLimitedEndpoint(SimulatedEndpoint):
    """An endpoint with a connection limit.

    A call is served on the idle connection of its node, or on a new one while the limit is not reached.
    """

    def __init__(self, max_connections):
        self.max_connections = max_connections
        self.connections: dict[int, OpenConnection] = {}
        self.calls: list[ConnectionLimitedCall] = []

    def respond(self, node, now):
        self.connections = {
            owner: connection for owner, connection in self.connections.items() if connection.closes_at > now
        }
        has_idle_connection = node in self.connections and self.connections[node].idle_since <= now
        was_served = has_idle_connection or len(self.connections) < self.max_connections
        if was_served:
            self.connections[node] = OpenConnection(now + RESPONSE_MS, now + RESPONSE_MS + MAX_IDLE_MS)
        self.calls.append(ConnectionLimitedCall(now, node, was_served))
        return (
            (RESPONSE_MS, SendOutcome.ACKED)
            if was_served
            else (CONNECTION_REJECTED_MS, SendOutcome.CONNECTION_LIMIT)
        )

    def close(self, node):
        self.connections.pop(node, None)

    def rejected_share(self):
        return sum(not call.was_served for call in self.calls) / len(self.calls)


class FleetNode(SimulatedNode):
    """One node of a fleet; its scheduled actions are in the queue of the fleet."""

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

    def schedule(self, at, action, *args):
        heapq.heappush(
            self.fleet.scheduled_actions, (at, next(self.fleet.insertion_order), self, action, args)
        )

    def end_attempt(self, ticket, endpoint, outcome, delay, retry_after_ms=0.0):
        if ticket not in self.session.in_flight:
            return  # the call belongs to the process before a restart
        self.endpoints[endpoint].record_outcome(self.number, outcome, self.now - delay)
        if outcome != SendOutcome.CONNECTION_LIMIT:
            super().end_attempt(ticket, endpoint, outcome, delay, retry_after_ms)
            return
        # Only calls over sockets have this outcome; the simulator's protocol has no code for it.
        event = self.session.in_flight.pop(ticket)
        decision = self.session.router.record_outcome(event, outcome, self.now, delay)
        self.session.apply_decision(event, decision, self.now, self)
        self.session.needs_recheck = True

    def end_health_check(self, endpoint, outcome, delay):
        self.endpoints[endpoint].record_outcome(self.number, outcome, self.now - delay)
        super().end_health_check(endpoint, outcome, delay)

    def close_idle(self, _node, endpoint):
        self.endpoints[endpoint].close(self.number)


class Fleet:
    """`size` nodes that share only the endpoints.

    `endpoints` maps the id of each endpoint to the endpoint.
    """

    def __init__(self, size, entries, endpoints, **settings):
        self.scheduled_actions = []
        self.insertion_order = count()
        self.nodes = [
            FleetNode(self, number, entries, endpoints, {"node_count": size} | settings)
            for number in range(size)
        ]

    def schedule_load(self, seed, rate_per_s, begin, end):
        """Schedule events at random times and nodes, `rate_per_s` per second on average."""
        rng = random.Random(seed)
        ticket = count(1)
        at = begin
        while (at := at + rng.expovariate(rate_per_s / 1000.0)) < end:
            node = rng.choice(self.nodes)
            node.schedule(at, node.submit, next(ticket))

    def run_until(self, end):
        while self.scheduled_actions and self.scheduled_actions[0][0] <= end:
            now, _, node, action, args = heapq.heappop(self.scheduled_actions)
            node.now = now
            action(*args)
            node.session.run_cycle(now, node)
        return self

    def trace_lines(self, text):
        return [line for node in self.nodes for line in node.lines if text in line]


class RecoveringEndpoint(SimulatedEndpoint):
    """An endpoint that refuses connections during an outage, and records the calls after it."""

    def __init__(self, outage_begins_at, outage_ends_at):
        self.outage_begins_at = outage_begins_at
        self.outage_ends_at = outage_ends_at
        self.calls = []  # times of the calls after the outage

    def respond(self, _node, now):
        if self.outage_begins_at <= now < self.outage_ends_at:
            return IMMEDIATE_RESPONSE_MS, SendOutcome.UNREACHABLE
        if now >= self.outage_ends_at:
            self.calls.append(now)
        return RESPONSE_MS, SendOutcome.ACKED

    def calls_within(self, begin_ms, end_ms):
        return sum(begin_ms <= received_at - self.outage_ends_at < end_ms for received_at in self.calls)


class RateLimitedEndpoint(SimulatedEndpoint):
    """An endpoint that serves at most `limit_per_s` calls per second; rejected calls count as well.

    `retry_after_ms` is the Retry-After of its rejections.
    """

    def __init__(self, limit_per_s, retry_after_ms=0.0):
        self.limit_per_s = limit_per_s
        self.retry_after_ms = retry_after_ms
        self.recent_calls = RecentCount(1000.0)
        self.served = []  # times
        self.rejected = []  # times

    def respond(self, _node, now):
        self.recent_calls.add(now)
        if self.recent_calls.count(now) > self.limit_per_s:
            self.rejected.append(now)
            return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED, self.retry_after_ms
        self.served.append(now)
        return RESPONSE_MS, SendOutcome.ACKED
