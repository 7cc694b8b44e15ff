"""A destination under a fleet's calls: an outage, its return cold, and the count of the slow-start budget."""

import math
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from support.simulated_fleet import Fleet
from swiftthread.lab.overload import overload_threshold
from swiftthread.routing.messages import SendOutcome
from swiftthread.routing.settings import StreamType

PROMPT_MS = 40.0  # an answer without work: a rejection, an error or a refused connection
CONNECT_TIMEOUT_MS = 1500.0
SERVICE_MS = 120.0  # mean of a call's work while warm
NETWORK_MS = 30.0  # both ways
MIN_BURST_MS = 400.0  # by which calls may come early at the limit
BURST_INTERVALS = 1.5  # the same in emission intervals; the longer of both holds
RETRY_AFTER_MS = 500.0
REJECTED_CONNECTION_SHARE = 0.85  # of the calls, where the table of connections stays full
RETRY_AFTER_SHARE = 0.6  # of rejections, where the destination tells a wait at all
FAILING_SHARE = 0.95  # of calls in an outage by errors
TOLD_SHARE = 2 / 3  # of an overload, from which it is the nodes' fault
OVERLOAD_MULTIPLE = 2.0
WINDOW_MS = 2000.0


class Outage(StrEnum):
    """How a destination is out."""

    REFUSES = "refuses connections"
    HANGS = "hangs"
    VANISHES = "vanishes"
    FAILS = "fails most calls"
    SHUT = "rejects all calls"
    SHUT_AND_FULL = "rejects all calls, most of them with their new connection"
    SHUT_WITH_WAITS = "rejects all calls, some with a Retry-After"


@dataclass(frozen=True, kw_only=True)
class Terms:
    """One destination, its outage and the fleet that calls it. Times in ms."""

    nodes: int = 40
    limit_per_s: float = 3.0
    routes: int = 1
    outage: Outage = Outage.SHUT
    out_at: float = 19000.0
    lasts: float = 12000.0
    warm_up: float = 9500.0
    cold_share: float = 0.15
    load: float = 0.8
    """Events a second, as a share of the limit of all routes."""
    restarted_share: float = 0.0
    """Of the nodes, killed and started again at some moment of the outage."""

    @property
    def back_at(self):
        """When it returns."""
        return self.out_at + self.lasts

    def budget(self, at):
        """Calls that the settings allow in the window that ends `at` ms after the return."""
        middle = max(0.0, at - WINDOW_MS / 2)
        share = min(1.0, self.cold_share + (1 - self.cold_share) * middle / self.warm_up)
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
    told_calls: int
    budget: float


@dataclass
class ColdRoute:
    """One route: takes calls up to its limit, is out for a while, and comes back with less capacity."""

    terms: Terms
    chance: Random
    told_nodes: set[int] = field(default_factory=set)
    arrivals: list[Arrival] = field(default_factory=list)
    next_slot_at: float = -math.inf

    def close(self, node):
        """Close a node's idle connection; there is no bound on them."""

    def answer(self, node, now):
        if self.terms.out_at <= now < self.terms.back_at:
            return self._answer_while_out(node)
        if now >= self.terms.back_at:
            self.arrivals.append(Arrival(now - self.terms.back_at, node))
        warmth = self._warmth(now)
        interval = 1000.0 / self.terms.limit_per_s / warmth
        slot_at = max(now, self.next_slot_at)
        if slot_at - now > max(MIN_BURST_MS, BURST_INTERVALS * interval):
            return PROMPT_MS, SendOutcome.RATE_LIMITED
        self.next_slot_at = slot_at + interval
        return self.chance.expovariate(1 / SERVICE_MS) / warmth + NETWORK_MS, SendOutcome.ACKED

    def _answer_while_out(self, node):
        if self.terms.outage == Outage.FAILS and self.chance.random() > FAILING_SHARE:
            return PROMPT_MS, SendOutcome.ACKED
        self.told_nodes.add(node)
        match self.terms.outage:
            case Outage.REFUSES:
                return PROMPT_MS, SendOutcome.UNREACHABLE
            case Outage.VANISHES:
                return CONNECT_TIMEOUT_MS, SendOutcome.UNREACHABLE
            case Outage.FAILS:
                return PROMPT_MS, SendOutcome.FAILED
            case Outage.SHUT_AND_FULL if self.chance.random() < REJECTED_CONNECTION_SHARE:
                return PROMPT_MS, SendOutcome.CONNECTION_LIMIT
            case Outage.SHUT_WITH_WAITS if self.chance.random() < RETRY_AFTER_SHARE:
                return PROMPT_MS, SendOutcome.RATE_LIMITED, RETRY_AFTER_MS
            case Outage.SHUT | Outage.SHUT_AND_FULL | Outage.SHUT_WITH_WAITS:
                return PROMPT_MS, SendOutcome.RATE_LIMITED
        return None  # it hangs

    def _warmth(self, now):
        terms = self.terms
        if now < terms.back_at:
            return 1.0
        return min(1.0, terms.cold_share + (1 - terms.cold_share) * (now - terms.back_at) / terms.warm_up)

    def overloads(self):
        """Overloads while it warms up."""
        window = []
        for arrival in self.arrivals:
            window = [earlier for earlier in window if earlier.at >= arrival.at - WINDOW_MS] + [arrival]
            told_calls = sum(call.node in self.told_nodes for call in window)
            budget = self.terms.budget(arrival.at)
            if (
                arrival.at < self.terms.warm_up
                and len(window) > overload_threshold(budget)
                and told_calls > TOLD_SHARE * len(window)
            ):
                yield Overload(arrival.at, len(window), told_calls, budget)

    def calls_within(self, begin, end):
        """How many calls came from `begin` to `end` ms after the return."""
        return sum(begin <= arrival.at < end for arrival in self.arrivals)


STREAM_TYPES = [
    StreamType(4000.0, 12000.0, 1.0, 0.5, "deduplicated", "zone", 5150.0),
    StreamType(1500.0, 5000.0, 3.0, 0.0, "idempotent"),
]


def play(terms, seed):
    """The routes of one destination after a fleet has met its outage and its return.

    Events come by chance; some nodes get several times as many as others.
    """
    chance = Random(seed)
    routes = {f"s-{number}": ColdRoute(terms, chance) for number in range(terms.routes)}
    entries = [(ident, 0, number % 2, 0, terms.limit_per_s, True) for number, ident in enumerate(routes)]
    fleet = Fleet(
        terms.nodes,
        entries,
        routes,
        stream_types=STREAM_TYPES,
        overload_multiple=OVERLOAD_MULTIPLE,
        cold_capacity_share=terms.cold_share,
        warm_up_ms=terms.warm_up,
        separate_routes_by_kind=[True],
        keepalive_ms=5000.0,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        max_calls_in_flight=13,
        max_pending_events=49,
        may_send_health_checks=True,
    )
    for member in fleet.members:
        member.session.router.random_uniform = Random(f"{seed} {member.number}").uniform
    shares = [chance.lognormvariate(0.0, 0.7) for _ in fleet.members]
    end = terms.back_at + terms.warm_up
    ticket, moment = 0, 0.0
    while moment < end:
        ticket += 1
        moment += chance.expovariate(terms.load * terms.limit_per_s * terms.routes / 1000.0)
        member = chance.choices(fleet.members, shares)[0]
        member.schedule(moment, member.submit, ticket, 0, chance.randrange(len(STREAM_TYPES)))
    for member in chance.sample(fleet.members, int(terms.restarted_share * terms.nodes)):
        restarts_at = terms.out_at + chance.uniform(0.2, 1.0) * terms.lasts
        member.schedule(restarts_at, member.restart, entries)
    fleet.run_until(end)
    return list(routes.values())
