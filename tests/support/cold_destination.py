"""A destination under a fleet's calls: an outage, its return cold, and the count of the slow-start budget."""

import math
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from support.simulated_fleet import Fleet
from swiftthread.lab.overload import overload_threshold
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import StreamType

IMMEDIATE_RESPONSE_MS = 40.0  # an answer without work: a rejection, an error or a refused connection
CONNECT_TIMEOUT_MS = 1500.0
MEAN_SERVICE_MS = 120.0  # mean of a call's work while warm
NETWORK_MS = 30.0  # both ways
MIN_BURST_MS = 400.0  # by which calls may come early at the limit
BURST_INTERVALS = 1.5  # the same in emission intervals; the longer of both holds
RETRY_AFTER_MS = 500.0
REJECTED_CONNECTION_SHARE = 0.85  # of the calls, where the table of connections stays full
RETRY_AFTER_SHARE = 0.6  # of rejections, where the destination tells a wait at all
FAILING_SHARE = 0.95  # of calls in an outage by errors
MIN_AWARE_SHARE = 2 / 3  # of an overload, from which it is the nodes' fault
OVERLOAD_MULTIPLE = 2.0
WINDOW_MS = 2000.0


class Outage(StrEnum):
    """How a destination is out."""

    REFUSES_CONNECTIONS = "refuses connections"
    NEVER_RESPONDS = "hangs"
    CONNECT_TIMES_OUT = "vanishes"
    FAILS_MOST_CALLS = "fails most calls"
    REJECTS_ALL_CALLS = "rejects all calls"
    REJECTS_CALLS_AND_CONNECTIONS = "rejects all calls, most of them with their new connection"
    REJECTS_WITH_RETRY_AFTER = "rejects all calls, some with a Retry-After"


@dataclass(frozen=True, kw_only=True)
class RecoveryScenario:
    """One destination, its outage and the fleet that calls it. Times in ms."""

    node_count: int = 40
    limit_per_s: float = 3.0
    route_count: int = 1
    outage: Outage = Outage.REJECTS_ALL_CALLS
    outage_begins_at: float = 19000.0
    outage_ms: float = 12000.0
    warm_up_ms: float = 9500.0
    cold_capacity_share: float = 0.15
    load_share: float = 0.8
    """Events a second, as a share of the limit of all routes."""
    restarted_share: float = 0.0
    """Of the nodes, killed and started again at some moment of the outage."""

    @property
    def outage_ends_at(self):
        """When it returns."""
        return self.outage_begins_at + self.outage_ms

    def warm_up_budget(self, at):
        """Calls that the settings allow in the window that ends `at` ms after the return."""
        middle = max(0.0, at - WINDOW_MS / 2)
        share = min(1.0, self.cold_capacity_share + (1 - self.cold_capacity_share) * middle / self.warm_up_ms)
        return OVERLOAD_MULTIPLE * self.limit_per_s / 1000.0 * share * WINDOW_MS


@dataclass(frozen=True)
class Arrival:
    """A call or health check after the return, `at` ms after it."""

    at: float
    node: int


@dataclass(frozen=True)
class Overload:
    """More calls in a window than the budget and its slack, most of them by nodes told of the outage."""

    at: float
    calls: int
    aware_calls: int
    budget: float


@dataclass
class RecoveringRoute:
    """One route: takes calls up to its limit, is out for a while, and comes back with less capacity."""

    scenario: RecoveryScenario
    chance: Random
    aware_nodes: set[int] = field(default_factory=set)
    arrivals: list[Arrival] = field(default_factory=list)
    next_slot_at: float = -math.inf

    def close(self, node):
        """Close a node's idle connection; there is no bound on them."""

    def respond(self, node, now):
        if self.scenario.outage_begins_at <= now < self.scenario.outage_ends_at:
            return self._respond_in_outage(node)
        if now >= self.scenario.outage_ends_at:
            self.arrivals.append(Arrival(now - self.scenario.outage_ends_at, node))
        capacity_share = self._capacity_share(now)
        interval = 1000.0 / self.scenario.limit_per_s / capacity_share
        slot_at = max(now, self.next_slot_at)
        if slot_at - now > max(MIN_BURST_MS, BURST_INTERVALS * interval):
            return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED
        self.next_slot_at = slot_at + interval
        return self.chance.expovariate(1 / MEAN_SERVICE_MS) / capacity_share + NETWORK_MS, SendOutcome.ACKED

    def _respond_in_outage(self, node):
        if self.scenario.outage == Outage.FAILS_MOST_CALLS and self.chance.random() > FAILING_SHARE:
            return IMMEDIATE_RESPONSE_MS, SendOutcome.ACKED
        self.aware_nodes.add(node)
        match self.scenario.outage:
            case Outage.REFUSES_CONNECTIONS:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.UNREACHABLE
            case Outage.CONNECT_TIMES_OUT:
                return CONNECT_TIMEOUT_MS, SendOutcome.UNREACHABLE
            case Outage.FAILS_MOST_CALLS:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.FAILED
            case Outage.REJECTS_CALLS_AND_CONNECTIONS if self.chance.random() < REJECTED_CONNECTION_SHARE:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.CONNECTION_LIMIT
            case Outage.REJECTS_WITH_RETRY_AFTER if self.chance.random() < RETRY_AFTER_SHARE:
                return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED, RETRY_AFTER_MS
            case (
                Outage.REJECTS_ALL_CALLS
                | Outage.REJECTS_CALLS_AND_CONNECTIONS
                | Outage.REJECTS_WITH_RETRY_AFTER
            ):
                return IMMEDIATE_RESPONSE_MS, SendOutcome.RATE_LIMITED
        return None  # it hangs

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
        """Overloads while it warms up."""
        window = []
        for arrival in self.arrivals:
            window = [earlier for earlier in window if earlier.at >= arrival.at - WINDOW_MS] + [arrival]
            aware_calls = sum(call.node in self.aware_nodes for call in window)
            budget = self.scenario.warm_up_budget(arrival.at)
            if (
                arrival.at < self.scenario.warm_up_ms
                and len(window) > overload_threshold(budget)
                and aware_calls > MIN_AWARE_SHARE * len(window)
            ):
                yield Overload(arrival.at, len(window), aware_calls, budget)

    def calls_within(self, begin, end):
        """How many calls came from `begin` to `end` ms after the return."""
        return sum(begin <= arrival.at < end for arrival in self.arrivals)


STREAM_TYPES = [
    StreamType(4000.0, 12000.0, 1.0, 0.5, "deduplicated", "zone", 5150.0),
    StreamType(1500.0, 5000.0, 3.0, 0.0, "idempotent"),
]


def simulate_recovery(scenario, seed):
    """The routes of one destination after a fleet has met its outage and its return.

    Events come by chance; some nodes get several times as many as others.
    """
    chance = Random(seed)
    routes = {f"s-{number}": RecoveringRoute(scenario, chance) for number in range(scenario.route_count)}
    entries = [(ident, 0, number % 2, 0, scenario.limit_per_s, True) for number, ident in enumerate(routes)]
    fleet = Fleet(
        scenario.node_count,
        entries,
        routes,
        stream_types=STREAM_TYPES,
        overload_multiple=OVERLOAD_MULTIPLE,
        cold_capacity_share=scenario.cold_capacity_share,
        warm_up_ms=scenario.warm_up_ms,
        separate_routes_by_kind=[True],
        keepalive_ms=5000.0,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        max_calls_in_flight=13,
        max_pending_events=49,
        may_send_health_checks=True,
    )
    for member in fleet.nodes:
        member.session.router.random_uniform = Random(f"{seed} {member.number}").uniform
    shares = [chance.lognormvariate(0.0, 0.7) for _ in fleet.nodes]
    end = scenario.outage_ends_at + scenario.warm_up_ms
    ticket, moment = 0, 0.0
    while moment < end:
        ticket += 1
        moment += chance.expovariate(
            scenario.load_share * scenario.limit_per_s * scenario.route_count / 1000.0
        )
        member = chance.choices(fleet.nodes, shares)[0]
        member.schedule(moment, member.submit, ticket, 0, chance.randrange(len(STREAM_TYPES)))
    for member in chance.sample(fleet.nodes, int(scenario.restarted_share * scenario.node_count)):
        restarts_at = scenario.outage_begins_at + chance.uniform(0.2, 1.0) * scenario.outage_ms
        member.schedule(restarts_at, member.restart, entries)
    fleet.run_until(end)
    return list(routes.values())
