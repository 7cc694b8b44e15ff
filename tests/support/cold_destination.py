"""A destination that a fleet calls: its outage, its warm-up and the check of the warm-up budget."""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from support.simulated_fleet import Fleet, SimulatedEndpoint
from swiftthread.lab.overload import overload_threshold
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import StreamType

IMMEDIATE_RESPONSE_MS = 40.0  # latency of a rejection, an error or a refused connection
CONNECT_TIMEOUT_MS = 1500.0
MEAN_SERVICE_MS = 120.0  # of a call at full capacity
NETWORK_ROUND_TRIP_MS = 30.0
# The burst tolerance of the rate limit is the longer of these two.
MIN_BURST_TOLERANCE_MS = 400.0
BURST_TOLERANCE_INTERVALS = 1.5  # emission intervals
RETRY_AFTER_MS = 500.0
REJECTED_CONNECTION_SHARE = 0.85  # of the calls while the connection limit is reached
RETRY_AFTER_SHARE = 0.6  # of the rejections, if the destination sends Retry-After at all
FAILING_SHARE = 0.95  # of the calls in an outage in which calls fail
# An overload counts as a fault of the nodes if more than this share of its calls came from nodes that had
# noticed the outage.
MIN_AWARE_SHARE = 2 / 3
OVERLOAD_MULTIPLE = 2.0
WINDOW_MS = 2000.0
EXTRA_EVENT_LOAD = 0.05  # load of each event of a call beyond the first, in calls with a single event
CLUMP_DURATION_MS = 300.0


class Outage(StrEnum):
    """How a destination behaves while it is down."""

    REFUSES_CONNECTIONS = "refuses connections"
    NEVER_RESPONDS = "never responds"
    CONNECT_TIMES_OUT = "lets connection attempts time out"
    FAILS_MOST_CALLS = "fails most calls"
    RESETS_ALL_CALLS = "resets the connections of all calls"
    REJECTS_ALL_CALLS = "rejects all calls"
    REJECTS_CALLS_AND_CONNECTIONS = "rejects all calls, most of them by rejecting the connection"
    REJECTS_ALL_CONNECTIONS = "rejects all connections"
    REJECTS_WITH_RETRY_AFTER = "rejects all calls, some with a Retry-After"


@dataclass(frozen=True, kw_only=True)
class RecoveryScenario:
    """One destination, its outage and the fleet that calls it.

    Times are in ms since the start of the simulation.
    """

    node_count: int = 40
    limit_per_s: float = 3.0
    route_count: int = 1
    outage: Outage = Outage.REJECTS_ALL_CALLS
    outage_begins_at: float = 19000.0
    outage_ms: float = 12000.0
    warm_up_ms: float = 9500.0
    cold_capacity_share: float = 0.15
    load_share: float = 0.8
    """Events per second, as a share of the total rate limit of all routes."""
    restarted_share: float = 0.0
    """Share of the nodes that are killed and restarted at a random time during the outage."""
    connection_limit_share: float = 0.0
    """Share of the calls outside the outage that are rejected because the connection limit is reached."""
    batch_size: int = 1
    """Maximum number of events in one call."""
    clump_s: float = 0.0
    """Size of a clump of events that arrives after the recovery: what the limits allow in this time."""
    clump_after_recovery_ms: float = 100.0

    @property
    def outage_ends_at(self):
        """Time at which the destination recovers."""
        return self.outage_begins_at + self.outage_ms

    def warm_up_budget(self, end_ms):
        """Return the calls that the settings allow in the window that ends `end_ms` after the recovery."""
        middle_ms = max(0.0, end_ms - WINDOW_MS / 2)
        share = min(
            1.0, self.cold_capacity_share + (1 - self.cold_capacity_share) * middle_ms / self.warm_up_ms
        )
        return OVERLOAD_MULTIPLE * self.limit_per_s / 1000.0 * share * WINDOW_MS


@dataclass(frozen=True)
class Arrival:
    """A call, an event that joined one or a health check, and how long after the recovery it arrived."""

    after_recovery_ms: float
    node: int
    load: float
    """The load in calls with a single event."""
    is_aware: bool
    """Whether the node had learned of an unsuccessful call or health check during the outage."""


@dataclass(frozen=True)
class Overload:
    """A window with more calls than the overload threshold of its budget.

    Most of them came from nodes that had noticed the outage. `end_ms` is the end of the window,
    counted from the recovery.
    """

    end_ms: float
    load: float
    aware_load: float
    budget: float


@dataclass
class SharedCall:
    """A call that further events of its node may join, and its response."""

    received_at: float
    remaining_capacity: int
    response: tuple | None


@dataclass
class RecoveringRoute(SimulatedEndpoint):
    """A route that accepts calls up to its rate limit, has an outage and recovers with reduced capacity.

    `aware_nodes` are the nodes that have learned of an unsuccessful call or health check that they sent
    during the outage.
    """

    scenario: RecoveryScenario
    rng: Random
    aware_nodes: set[int] = field(default_factory=set)
    arrivals: list[Arrival] = field(default_factory=list)
    shared_calls: dict[int, SharedCall] = field(default_factory=dict)
    """The last call of each node."""
    next_slot_at: float = -math.inf

    def record_outcome(self, node, outcome, sent_at):
        was_sent_in_outage = self.scenario.outage_begins_at <= sent_at < self.scenario.outage_ends_at
        if was_sent_in_outage and outcome != SendOutcome.ACKED:
            self.aware_nodes.add(node)

    def respond(self, node, now):
        shared = self.shared_calls.get(node)
        if shared and shared.received_at == now and shared.remaining_capacity:
            shared.remaining_capacity -= 1
            self._record_arrival(node, now, EXTRA_EVENT_LOAD)
            return shared.response
        self._record_arrival(node, now, 1.0)
        response = self._respond_to_call(node, now)
        self.shared_calls[node] = SharedCall(now, self.scenario.batch_size - 1, response)
        return response

    def _record_arrival(self, node, now, load):
        after_recovery_ms = now - self.scenario.outage_ends_at
        if after_recovery_ms >= 0:
            self.arrivals.append(Arrival(after_recovery_ms, node, load, node in self.aware_nodes))

    def _respond_to_call(self, node, now):
        if self.scenario.outage_begins_at <= now < self.scenario.outage_ends_at:
            return self._respond_in_outage()
        if self.scenario.connection_limit_share and self.rng.random() < self.scenario.connection_limit_share:
            return IMMEDIATE_RESPONSE_MS, SendOutcome.CONNECTION_LIMIT
        capacity_share = self._capacity_share(now)
        interval_ms = 1000.0 / self.scenario.limit_per_s / capacity_share
        slot_at = max(now, self.next_slot_at)
        if slot_at - now > max(MIN_BURST_TOLERANCE_MS, BURST_TOLERANCE_INTERVALS * interval_ms):
            return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED
        self.next_slot_at = slot_at + interval_ms
        return self.rng.expovariate(
            1 / MEAN_SERVICE_MS
        ) / capacity_share + NETWORK_ROUND_TRIP_MS, SendOutcome.ACKED

    def _respond_in_outage(self):
        if self.scenario.outage == Outage.FAILS_MOST_CALLS and self.rng.random() > FAILING_SHARE:
            return IMMEDIATE_RESPONSE_MS, SendOutcome.ACKED
        match self.scenario.outage:
            case Outage.REFUSES_CONNECTIONS:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.UNREACHABLE
            case Outage.CONNECT_TIMES_OUT:
                return CONNECT_TIMEOUT_MS, SendOutcome.UNREACHABLE
            case Outage.RESETS_ALL_CALLS:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.RESET
            case Outage.FAILS_MOST_CALLS:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.FAILED
            case Outage.REJECTS_ALL_CONNECTIONS:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.CONNECTION_LIMIT
            case Outage.REJECTS_CALLS_AND_CONNECTIONS if self.rng.random() < REJECTED_CONNECTION_SHARE:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.CONNECTION_LIMIT
            case Outage.REJECTS_WITH_RETRY_AFTER if self.rng.random() < RETRY_AFTER_SHARE:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED, RETRY_AFTER_MS
            case (
                Outage.REJECTS_ALL_CALLS
                | Outage.REJECTS_CALLS_AND_CONNECTIONS
                | Outage.REJECTS_WITH_RETRY_AFTER
            ):
                return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED
        return None  # no response

    def _capacity_share(self, now):
        scenario = self.scenario
        if now < scenario.outage_ends_at:
            return 1.0
        return min(
            1.0,
            scenario.cold_capacity_share
            + (1 - scenario.cold_capacity_share) * (now - scenario.outage_ends_at) / scenario.warm_up_ms,
        )

    def overloads(self):
        """Yield the overloads during the warm-up."""
        window = deque()
        for arrival in self.arrivals:
            if arrival.after_recovery_ms >= self.scenario.warm_up_ms:
                return
            window.append(arrival)
            while window[0].after_recovery_ms < arrival.after_recovery_ms - WINDOW_MS:
                window.popleft()
            load = sum(call.load for call in window)
            budget = self.scenario.warm_up_budget(arrival.after_recovery_ms)
            if load <= overload_threshold(budget):
                continue
            aware_load = sum(call.load for call in window if call.is_aware)
            if aware_load > MIN_AWARE_SHARE * load:
                yield Overload(arrival.after_recovery_ms, load, aware_load, budget)

    def load_within(self, begin_ms, end_ms):
        """Return the load, in calls, that arrived between `begin_ms` and `end_ms` after the recovery."""
        return sum(
            arrival.load for arrival in self.arrivals if begin_ms <= arrival.after_recovery_ms < end_ms
        )


STREAM_TYPES = [
    StreamType(4000.0, 12000.0, 1.0, 0.5, "deduplicated", "zone", 5150.0),
    StreamType(1500.0, 5000.0, 3.0, 0.0, "idempotent"),
]


def simulate_recovery(scenario, seed):
    """Simulate the outage and the recovery of a destination that a fleet calls, and return its routes.

    Events arrive at random times; some nodes get several times as many as others.
    """
    rng = Random(seed)
    routes = {f"s-{number}": RecoveringRoute(scenario, rng) for number in range(scenario.route_count)}
    entries = [
        (endpoint_id, 0, number % 2, 0, scenario.limit_per_s, True)
        for number, endpoint_id in enumerate(routes)
    ]
    fleet = Fleet(
        scenario.node_count,
        entries,
        routes,
        stream_types=STREAM_TYPES,
        overload_multiple=OVERLOAD_MULTIPLE,
        cold_capacity_share=scenario.cold_capacity_share,
        warm_up_ms=scenario.warm_up_ms,
        separate_routes_by_kind=[True],
        batch_size_by_kind=[scenario.batch_size],
        keepalive_ms=5000.0,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        max_calls_in_flight=13,
        max_pending_events=49,
        may_send_health_checks=True,
    )
    for node in fleet.nodes:
        node.session.router.random_uniform = Random(f"{seed} {node.number}").uniform
    load_shares = [rng.lognormvariate(0.0, 0.7) for _ in fleet.nodes]
    end = scenario.outage_ends_at + scenario.warm_up_ms
    for ticket, submitted_at in enumerate(_submission_times(scenario, rng, end), 1):
        node = rng.choices(fleet.nodes, load_shares)[0]
        node.schedule(submitted_at, node.submit, ticket, 0, rng.randrange(len(STREAM_TYPES)))
    for node in rng.sample(fleet.nodes, int(scenario.restarted_share * scenario.node_count)):
        restarts_at = scenario.outage_begins_at + rng.uniform(0.2, 1.0) * scenario.outage_ms
        node.schedule(restarts_at, node.restart, entries)
    fleet.run_until(end)
    return list(routes.values())


def _submission_times(scenario, rng, end):
    """Yield when events are submitted: the steady load, and the clump after the recovery."""
    limit_per_ms = scenario.limit_per_s * scenario.route_count / 1000.0
    submitted_at = 0.0
    while submitted_at < end:
        submitted_at += rng.expovariate(scenario.load_share * limit_per_ms)
        yield submitted_at
    clump_begins_at = scenario.outage_ends_at + scenario.clump_after_recovery_ms
    for _ in range(round(1000.0 * scenario.clump_s * limit_per_ms)):
        yield clump_begins_at + rng.uniform(0.0, CLUMP_DURATION_MS)
