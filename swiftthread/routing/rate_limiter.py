"""Pacing of calls to one destination or route by GCRA, and the rate learned from its answers.

Rates are in calls per millisecond, moments and spans in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from swiftthread.routing.events import Call
from swiftthread.routing.messages import LoadReport
from swiftthread.routing.settings import ListedRates, Settings
from swiftthread.routing.statistics import RecentCount, SlidingMedian, SmoothedRate

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint

# Share of the first rate by which clean calls raise it each second; slow beside a halving.
GROWTH_SHARE_PER_S = 0.08
# ms since a cut after which an unlisted rate grows by that share of itself: 2 to 2,000/s in 20 s.
UNLISTED_GROWTH_MS = 2000.0
# Most multiple of that growth of an unlisted rate, however long nothing was cut.
MAX_UNLISTED_GROWTH = 8.0
# x listed rate: no node needs more than all of it, and the list may be somewhat low.
MAX_LISTED_MULTIPLE = 1.5
# A rejection, a run of failures or risen latency halves the rate; a clean span doubles it.
REDUCTION_FACTOR = 0.5
# x target rate: what a rejection leaves of the rate that clean spans lead back to.
TARGET_KEPT = 0.9
# ms between two cuts, and of a clean span that doubles the rate.
ADJUSTMENT_MS = 1000.0
# Confidence in a roughly listed rate: it may be up to half too high.
ROUGH_LIST_CONFIDENCE = 0.7
# Calls per ms: the first cut of an unpaced limiter never goes under one a second.
MIN_RATE_PER_MS = 0.001
# Calls per ms: the floor of cuts while nothing is known to be served.
MIN_UNSERVED_RATE_PER_MS = MIN_RATE_PER_MS / 4
# Calls per ms assumed where a figure is needed for an unpaced limiter.
ASSUMED_RATE_PER_MS = 0.004
# Emission intervals by which a call may be early.
BURST_TOLERANCE = 0.3
# ms past its moment in which a slot counts as kept; a few scheduling cycles of the caller.
SLOT_SLACK_MS = 20.0
# Emission intervals that a call costs.
CALL_COST = 1.0
# Emission intervals that one more event in a call costs; it is work, not a call.
SHARED_EVENT_COST = 0.05
# Latencies for a median, at a coefficient of variation of 1.4.
LATENCY_SAMPLES = 24
# x lowest median: from here latency has risen.
LATENCY_RISE_FACTOR = 2.0
# ms: a rise by less harms no latency objective; calls that leave together wait for each other.
MIN_LATENCY_RISE_MS = 40.0
# Factor by which the lowest median may drift up each half window.
LOWEST_LATENCY_DRIFT = 1.03
# ms: latency assumed before the first was seen.
INITIAL_LATENCY_MS = 350.0
# ms without an outcome after which an endpoint may be silent; longer than a brief stall.
MIN_UNRESPONSIVE_MS = 700.0
# x usual latency, the same; the longer of both holds.
UNRESPONSIVE_LATENCIES = 4.0
# ms: span of the smoothed rate of acked calls, this node's usual share.
AVERAGE_ACK_RATE_WINDOW_MS = 10000.0
# Share of the latency objective (mean by priority): nodes with an event within it share a rate.
ACTIVITY_WINDOW_SHARE = 0.33
# ms: that span where there are no stream types.
DEFAULT_ACTIVITY_WINDOW_MS = 1000.0
# ms: the longest wait where there are no stream types.
DEFAULT_LONGEST_WAIT_MS = 1000.0
# x held limit: a reported limit below that is a fall, not noise.
LIMIT_FALL_RATIO = 0.6
# Weight of the newest reported limit that is no fall.
REPORT_SMOOTHING = 0.15


@dataclass(frozen=True, slots=True)
class FleetSharing:
    """How the nodes of the fleet divide a listed rate among them."""

    node_count: int
    confidence: float
    """Share of a listed rate that can be relied on, 0 to 1."""
    activity_window_ms: float
    """Nodes that have an event for a limiter within this span count as busy."""
    longest_wait_ms: float
    """For how long an event may wait for a limiter."""

    @classmethod
    def from_settings(cls, settings: Settings) -> FleetSharing:
        """The terms that the settings give."""
        stream_types = settings.stream_types
        weight = sum(stream_type.priority_weight for stream_type in stream_types)
        weighted_objective_ms = sum(
            stream_type.priority_weight * stream_type.latency_objective_ms for stream_type in stream_types
        )
        return cls(
            node_count=max(1, settings.node_count),
            confidence=ROUGH_LIST_CONFIDENCE if settings.listed_rates == ListedRates.ROUGH else 1.0,
            activity_window_ms=ACTIVITY_WINDOW_SHARE * weighted_objective_ms / weight
            if weight
            else DEFAULT_ACTIVITY_WINDOW_MS,
            longest_wait_ms=longest_wait_ms(settings),
        )


def longest_wait_ms(settings: Settings) -> float:
    """The longest max age of the stream types: for how long an event may be pending."""
    return max([stream_type.max_age_ms for stream_type in settings.stream_types] or [DEFAULT_LONGEST_WAIT_MS])


@dataclass(slots=True)
class SharedCall:
    """A call that further events may join in the scheduling cycle in which it was made."""

    call: Call
    made_at: float
    places_left: int


class RateLimiter:
    """One schedule of calls: that of a destination, or of a route where routes are kept apart."""

    __slots__ = (
        "active_share",
        "consecutive_failures",
        "demand_at",
        "equal_share",
        "has_acked_since_reduction",
        "listed_rate",
        "listed_rate_confidence",
        "lowest_latency_ms",
        "next_recovery_slot_at",
        "next_slot_at",
        "outage_began_at",
        "rate",
        "rate_as_listed",
        "rate_before_outage",
        "rate_changed_at",
        "rate_reduced_at",
        "recent_acks",
        "recent_latency_ms",
        "retry_after_until",
        "shared_call",
        "sharing",
        "spare_share",
        "target_rate",
        "average_ack_rate",
        "waiting_share",
    )

    def __init__(self, listed_rate: float | None, sharing: FleetSharing) -> None:
        self.sharing = sharing
        self.next_slot_at = -math.inf
        self.retry_after_until = -math.inf
        self.shared_call: SharedCall | None = None

        self.listed_rate: float | None = None
        """The limit as this node holds it: as listed, corrected by reports; None when it is not listed."""
        self.rate_as_listed: float | None = None
        """The limit as the endpoint list names it."""
        self.listed_rate_confidence = sharing.confidence
        self.active_share: float | None = None
        """This node's share among the nodes that are busy here; None when no rate is listed."""
        self.equal_share = 0.0
        """Its share among all nodes."""
        self.waiting_share = 0.0
        """Its share among the nodes that can have an event waiting here."""
        if listed_rate:
            self.set_listed_rate(listed_rate, sharing.confidence)

        self.rate: float | None = self.active_share
        """The present rate; None while unpaced, until the first cut."""
        self.target_rate: float | None = self.active_share
        """The rate that clean spans lead back to."""
        self.rate_changed_at = -math.inf
        self.rate_reduced_at = -math.inf
        self.demand_at = -math.inf
        """When an event last waited for a slot."""
        self.spare_share = 1.0
        """Share of the limit that is left, by the last load report."""

        self.recent_acks = RecentCount(ADJUSTMENT_MS)
        self.average_ack_rate = SmoothedRate(AVERAGE_ACK_RATE_WINDOW_MS)
        self.recent_latency_ms = SlidingMedian(LATENCY_SAMPLES, INITIAL_LATENCY_MS)
        self.lowest_latency_ms: float | None = None
        self.consecutive_failures = 0
        self.has_acked_since_reduction = True

        self.rate_before_outage = 0.0
        """Usual rate of acked calls when the last outage began."""
        self.outage_began_at = -math.inf
        self.next_recovery_slot_at = -math.inf
        """The next trial, probe or call while an endpoint warms up."""

    def set_listed_rate(self, listed_rate: float, confidence: float) -> None:
        """Hold this limit true, and divide it among the nodes."""
        self.listed_rate = listed_rate
        self.listed_rate_confidence = confidence
        self.equal_share = listed_rate / self.sharing.node_count
        self.active_share = self.share_among_nodes(self.sharing.activity_window_ms)
        self.waiting_share = self.share_among_nodes(self.sharing.longest_wait_ms)

    def update_from_list(self, listed_rate: float | None) -> None:
        """Take the rate that a new endpoint list names; a list that repeats it leaves corrections be."""
        if listed_rate and listed_rate != self.rate_as_listed:
            self.set_listed_rate(listed_rate, self.sharing.confidence)
        self.remember_listed_rate(listed_rate)

    def remember_listed_rate(self, listed_rate: float | None) -> None:
        """Keep the rate that a list names, without holding it true."""
        self.rate_as_listed = listed_rate or self.rate_as_listed

    def share_among_nodes(self, window_ms: float, demand_rate: float | None = None) -> float:
        """The listed rate by the nodes that can be expected to have an event here in a span.

        Args:
            window_ms: The span.
            demand_rate: Events per ms that come here; None is the listed rate, at the limit.
        """
        assert self.listed_rate is not None
        nodes = self.sharing.node_count
        demand_rate = demand_rate or self.listed_rate
        return self.listed_rate / max(1.0, nodes * -math.expm1(-demand_rate * window_ms / nodes))

    def ready_at(self) -> float:
        """When the next call may go."""
        if not self.rate:
            return max(self.next_slot_at, self.retry_after_until)
        assert self.target_rate is not None
        return max(self.next_slot_at - BURST_TOLERANCE / self.target_rate, self.retry_after_until)

    def reserve(self, now: float, cost: float) -> None:
        """Move the next slot on by the emission interval times the cost of what is sent."""
        if self.rate:
            is_kept = 0 <= now - self.next_slot_at <= SLOT_SLACK_MS
            slot = self.next_slot_at if is_kept else max(now, self.next_slot_at)
            self.next_slot_at = slot + cost / self.rate

    def release_slot(self) -> None:
        """Undo the booking of a call that reached nobody."""
        if self.rate:
            self.next_slot_at -= 1.0 / self.rate

    def record_demand(self, now: float) -> None:
        """Record that an event waits for a slot: without demand the rate does not grow."""
        self.demand_at = now

    def offer_shared_call(self, call: Call, now: float, places: int) -> None:
        """Let so many further events join this call in this scheduling cycle."""
        self.shared_call = SharedCall(call, now, places)

    def has_joinable_call(self, now: float) -> bool:
        """Whether a call of this scheduling cycle takes further events."""
        shared = self.shared_call
        return shared is not None and shared.made_at == now and shared.places_left > 0

    def has_joinable_call_to(self, endpoint: Endpoint, now: float) -> bool:
        """Whether a call of this scheduling cycle to this endpoint takes further events."""
        shared = self.shared_call
        return (
            shared is not None
            and shared.made_at == now
            and shared.places_left > 0
            and shared.call.endpoint is endpoint
        )

    def join_shared_call(self) -> Call:
        """Take a place in the call of this scheduling cycle."""
        assert self.shared_call is not None
        self.shared_call.places_left -= 1
        return self.shared_call.call

    def apply_retry_after(self, until: float, random_uniform: Callable[[float, float], float]) -> None:
        """Block all calls up to a moment that an answer named; the schedule starts anew from there."""
        if until <= self.retry_after_until:
            return
        self.retry_after_until = until
        if self.active_share and self.rate:
            # All that were told come back together, and rejected calls may use up the limit: this node's
            # share among those that can have an event waiting here.
            self.rate = min(self.rate, self.waiting_share * self.listed_rate_confidence)
        delay_ms = random_uniform(0.0, 1.0) / (self.rate or ASSUMED_RATE_PER_MS)
        self.next_slot_at = max(self.next_slot_at, until + delay_ms)

    def extend_retry_after(self, until: float) -> None:
        """Take over a Retry-After that was given to another limiter of the same endpoint."""
        self.retry_after_until = max(self.retry_after_until, until)

    def apply_load_report(self, report: LoadReport) -> None:
        """Correct the listed rate by a reported limit: noise is smoothed, a fall followed at once."""
        limit = report.limit_per_s / 1000.0
        self.spare_share = report.spare_share if limit > 0 else 1.0
        if limit <= 0 or not self.listed_rate:
            return
        replaces = self.listed_rate_confidence < 1.0 or limit < LIMIT_FALL_RATIO * self.listed_rate
        weight = 1.0 if replaces else REPORT_SMOOTHING
        self.set_listed_rate(self.listed_rate + (limit - self.listed_rate) * weight, 1.0)
        self.rate = min(self.rate or math.inf, self.listed_rate)

    def reduce_rate(self, now: float, was_rejected: bool) -> None:
        """Halve the rate, at most once a second; a rejection lowers the target of growth too."""
        if now - self.rate_changed_at < ADJUSTMENT_MS:
            return
        if self.rate is None:
            self._start_pacing(now)
        assert self.rate is not None and self.target_rate is not None
        floor = self._cut_floor()
        if was_rejected:
            self.target_rate = max(min(self.target_rate, max(self.rate, floor)) * TARGET_KEPT, floor)
        former_rate = self.rate
        self.rate = max(self.rate * REDUCTION_FACTOR, floor * REDUCTION_FACTOR)
        self.rate_changed_at = now
        self.rate_reduced_at = now
        self.has_acked_since_reduction = False
        # What was booked is booked anew at the lower rate.
        self.next_slot_at = max(now, self.next_slot_at) + 1.0 / self.rate - 1.0 / former_rate

    def _start_pacing(self, now: float) -> None:
        self.rate = max(MIN_RATE_PER_MS / REDUCTION_FACTOR, self.recent_acks.count(now) / ADJUSTMENT_MS)
        self.target_rate = self.rate
        self.next_slot_at = now + 1.0 / self.rate  # nothing was booked while it was unpaced

    def _cut_floor(self) -> float:
        """The equal share, unless nothing was served since the last cut: then the list is wrong."""
        if self.active_share and self.has_acked_since_reduction:
            return self.equal_share * self.listed_rate_confidence
        return MIN_UNSERVED_RATE_PER_MS

    def record_ack(self, now: float, latency_ms: float, is_slow_everywhere: Callable[[], bool]) -> None:
        """Learn from an acked call: its latency, and that the present rate is served."""
        self.consecutive_failures = 0
        self.has_acked_since_reduction = True
        self.average_ack_rate.add(now)
        self.recent_acks.add(now)
        if self.recent_latency_ms.add(latency_ms):
            self._compare_latency(now, is_slow_everywhere)
        self._grow_rate(now)

    def record_failure(self) -> None:
        """Count a failed call, whichever endpoint failed it."""
        self.consecutive_failures += 1

    def _compare_latency(self, now: float, is_slow_everywhere: Callable[[], bool]) -> None:
        median_ms = self.recent_latency_ms.value
        lowest_ms = self.lowest_latency_ms
        self.lowest_latency_ms = min(median_ms, lowest_ms * LOWEST_LATENCY_DRIFT if lowest_ms else median_ms)
        # Guards against a rise seen everywhere at once: that is not this destination's overload.
        if self.latency_has_risen() and not is_slow_everywhere():
            self.reduce_rate(now, was_rejected=False)

    def _grow_rate(self, now: float) -> None:
        if self.rate is None:
            return
        assert self.target_rate is not None
        if self.rate < self.target_rate:
            if now - self.rate_changed_at >= ADJUSTMENT_MS:
                self.rate = min(self.target_rate, self.rate / REDUCTION_FACTOR)
                self.rate_changed_at = now
        elif now - self.demand_at < ADJUSTMENT_MS:
            # Nobody knows an unlisted rate: it grows by a share of itself, faster the longer nothing was cut.
            share = self.active_share or self.target_rate * min(
                MAX_UNLISTED_GROWTH, (now - self.rate_reduced_at) / UNLISTED_GROWTH_MS
            )
            step = GROWTH_SHARE_PER_S * self.spare_share * share / (self.rate * 1000.0)
            highest = MAX_LISTED_MULTIPLE * (self.listed_rate or math.inf)
            self.rate = max(self.rate, min(self.rate + step, highest))
            self.target_rate = self.rate

    def unresponsive_after_ms(self) -> float:
        """Ms without an outcome after which calls in flight are more than slow."""
        return max(MIN_UNRESPONSIVE_MS, UNRESPONSIVE_LATENCIES * self.recent_latency_ms.value)

    def latency_has_risen(self) -> bool:
        """Whether the median latency is well above its lowest."""
        lowest_ms = self.lowest_latency_ms
        return lowest_ms is not None and self.recent_latency_ms.value > max(
            LATENCY_RISE_FACTOR * lowest_ms, lowest_ms + MIN_LATENCY_RISE_MS
        )

    def begin_outage(self, began_at: float, served_until: float) -> None:
        """Keep when an outage began, and the rate that was acked usually up to then."""
        self.outage_began_at = began_at
        self.rate_before_outage = self.average_ack_rate.at(served_until)

    def set_next_recovery_slot(self, at: float) -> None:
        """Allow the next trial, probe or call while an endpoint warms up from this moment on."""
        self.next_recovery_slot_at = at
