"""Pacing of calls to one destination or route by GCRA, and the rate learned from its responses."""
# Rates are in calls per millisecond, times and durations in milliseconds.

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from swiftthread.routing.events import Call
from swiftthread.routing.messages import LoadReport
from swiftthread.routing.recovery_state import RecoveryState
from swiftthread.routing.settings import ListedRates, Settings
from swiftthread.routing.statistics import RecentCount, SlidingMedian, SmoothedRate

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint

# Share of the initial rate (`RateLimiter.active_share`) by which the rate grows during a second of acked
# calls, while events wait for slots; slow next to a halving.
GROWTH_SHARE_PER_S = 0.08
# An unlisted rate grows each second by `GROWTH_SHARE_PER_S` of itself when the last reduction was this long
# ago, and proportionally faster later: from 2 to 2,000 calls per second in 20 s.
UNLISTED_GROWTH_MS = 2000.0
# Upper limit of the factor by which that growth accelerates, however long ago the last reduction was.
MAX_UNLISTED_GROWTH_FACTOR = 8.0
# Upper limit of the rate as a multiple of the listed rate: no node needs more than all of it, and the list
# may be somewhat low.
MAX_LISTED_RATE_MULTIPLE = 1.5
# A rejection, consecutive failures or risen latency multiply the rate by this factor; an interval without a
# reduction divides the rate by it.
REDUCTION_FACTOR = 0.5
# Factor by which a rejection lowers the target rate, to which intervals without a reduction lead back.
TARGET_REDUCTION_FACTOR = 0.9
# Minimum time between two reductions, and length of the interval without one that doubles the rate.
ADJUSTMENT_INTERVAL_MS = 1000.0
# Confidence in a roughly listed rate, which may be up to half too high.
ROUGH_LIST_CONFIDENCE = 0.7
# The first reduction of a limiter without a rate leaves at least this rate: one call per second.
MIN_RATE_PER_MS = 0.001
# Floor of the target rate if no rate is listed, or while no rate is known to be served.
MIN_UNSERVED_RATE_PER_MS = MIN_RATE_PER_MS / 4
# Rate that is assumed where a calculation needs one and the limiter has none.
ASSUMED_RATE_PER_MS = 0.004
# Number of emission intervals by which a call may be early.
BURST_TOLERANCE_INTERVALS = 0.3
# A call that is late by no more than this uses its slot as reserved, so that the schedule does not shift; it
# covers a few scheduling cycles of the caller.
SLOT_LATENESS_TOLERANCE_MS = 20.0
# Number of emission intervals that a call costs.
CALL_COST = 1.0
# Number of emission intervals that each further event in a call costs: it is work, but not a call.
SHARED_EVENT_COST = 0.05
# Number of samples per latency median; sufficient at a coefficient of variation of 1.4.
LATENCY_SAMPLES = 24
# Latency counts as risen when its median exceeds this multiple of the lowest median.
LATENCY_RISE_FACTOR = 2.0
# A smaller rise is ignored: it harms no latency objective, and calls that are sent together wait for each
# other.
MIN_LATENCY_RISE_MS = 40.0
# Factor by which the lowest median may drift up each time half of the samples are new.
LOWEST_LATENCY_DRIFT = 1.03
# Latency that is assumed before the first sample.
INITIAL_LATENCY_MS = 350.0
# Minimum time without an outcome after which an endpoint counts as unresponsive; longer than a brief stall.
MIN_UNRESPONSIVE_MS = 700.0
# The same time as a multiple of the median latency; the longer of both applies.
UNRESPONSIVE_LATENCIES = 4.0
# Averaging window of the rate of acked calls, which is the estimate of this node's share of the calls.
AVERAGE_ACK_RATE_WINDOW_MS = 10000.0
# Length of the activity window as a share of the latency objective (mean by priority weight): the nodes that
# have an event for a limiter within it share the limiter's rate.
ACTIVITY_WINDOW_SHARE = 0.33
# Activity window if no stream types are configured.
DEFAULT_ACTIVITY_WINDOW_MS = 1000.0
# Longest wait if no stream types are configured.
DEFAULT_LONGEST_WAIT_MS = 1000.0
# A reported limit below this share of the limit in use is a drop, not noise.
LIMIT_DROP_RATIO = 0.6
# Weight of the newest reported limit if it is not a drop.
REPORT_SMOOTHING = 0.15


@dataclass(frozen=True, slots=True)
class FleetSharing:
    """How the nodes of the fleet divide a listed rate among themselves."""

    node_count: int
    confidence: float
    """Share of a listed rate that can be relied on, 0 to 1."""
    activity_window_ms: float
    """Nodes that have an event for a limiter within this window count as active."""
    longest_wait_ms: float
    """How long an event may wait for a limiter."""

    @classmethod
    def from_settings(cls, settings: Settings) -> FleetSharing:
        """Return the sharing that the settings describe."""
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
    """Return the longest max age of the stream types: how long an event may be pending."""
    return max([stream_type.max_age_ms for stream_type in settings.stream_types] or [DEFAULT_LONGEST_WAIT_MS])


# Largest body of a call of several events that endpoints accept.
MAX_CALL_BODY_BYTES = 64 * 1024
# What such a body has besides its events.
CALL_BODY_FRAME_BYTES = 2


@dataclass(slots=True)
class SharedCall:
    """A call that further events may join in the scheduling cycle in which it was made."""

    call: Call
    made_at: float
    remaining_capacity: int
    """How many further events may join."""
    remaining_bytes: int
    """How many bytes they may have together."""


class RateLimiter:
    """Paces the calls of a destination, or of one route where routes have separate limits."""

    __slots__ = (
        "active_share",
        "consecutive_failures",
        "demand_at",
        "equal_share",
        "has_acked_since_reduction",
        "listed_rate",
        "listed_rate_confidence",
        "lowest_latency_ms",
        "next_slot_at",
        "rate",
        "rate_as_listed",
        "rate_changed_at",
        "rate_reduced_at",
        "recent_acks",
        "recent_latency_ms",
        "recovery",
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
        """The limit in use: the listed rate, corrected by load reports; None when no rate is listed."""
        self.rate_as_listed: float | None = None
        """The limit as the endpoint list states it."""
        self.listed_rate_confidence = sharing.confidence
        self.active_share: float | None = None
        """The rate that is this node's share among the nodes active here; None when no rate is listed."""
        self.equal_share = 0.0
        """The rate that is this node's share among all nodes."""
        self.waiting_share = 0.0
        """The rate that is this node's share among the nodes that can have an event waiting here."""
        if listed_rate:
            self.set_listed_rate(listed_rate, sharing.confidence)

        self.rate: float | None = self.active_share
        """The current rate; None while calls are not paced, which ends with the first reduction."""
        self.target_rate: float | None = self.active_share
        """The rate to which intervals without a reduction lead back."""
        self.rate_changed_at = -math.inf
        self.rate_reduced_at = -math.inf
        self.demand_at = -math.inf
        """When an event last waited for a slot."""
        self.spare_share = 1.0
        """Share of the limit that was unused according to the last load report."""

        self.recent_acks = RecentCount(ADJUSTMENT_INTERVAL_MS)
        self.average_ack_rate = SmoothedRate(AVERAGE_ACK_RATE_WINDOW_MS)
        self.recent_latency_ms = SlidingMedian(LATENCY_SAMPLES, INITIAL_LATENCY_MS)
        self.lowest_latency_ms: float | None = None
        self.consecutive_failures = 0
        self.has_acked_since_reduction = True

        self.recovery = RecoveryState()
        """The outage and the warm-up of the destination or route."""

    def set_listed_rate(self, listed_rate: float, confidence: float) -> None:
        """Use this limit, and divide it among the nodes."""
        self.listed_rate = listed_rate
        self.listed_rate_confidence = confidence
        self.equal_share = listed_rate / self.sharing.node_count
        self.active_share = self.share_among_nodes(self.sharing.activity_window_ms)
        self.waiting_share = self.share_among_nodes(self.sharing.longest_wait_ms)

    def update_from_list(self, listed_rate: float | None) -> None:
        """Apply the rate of a new endpoint list; a list that repeats it leaves corrections in place."""
        if listed_rate and listed_rate != self.rate_as_listed:
            self.set_listed_rate(listed_rate, self.sharing.confidence)
        self.remember_listed_rate(listed_rate)

    def remember_listed_rate(self, listed_rate: float | None) -> None:
        """Store the rate that an endpoint list states, without using it."""
        self.rate_as_listed = listed_rate or self.rate_as_listed

    def share_among_nodes(self, window_ms: float, demand_rate: float | None = None) -> float:
        """Return the listed rate per node among the nodes that are expected to have an event here.

        Args:
            window_ms: A node counts if it has an event here within this time.
            demand_rate: Events per ms that arrive here; None stands for the listed rate, demand at the limit.
        """
        assert self.listed_rate is not None
        nodes = self.sharing.node_count
        demand_rate = demand_rate or self.listed_rate
        return self.listed_rate / max(1.0, nodes * -math.expm1(-demand_rate * window_ms / nodes))

    def ready_at(self) -> float:
        """Return when the next call may be sent."""
        if not self.rate:
            return max(self.next_slot_at, self.retry_after_until)
        assert self.target_rate is not None
        return max(self.next_slot_at - BURST_TOLERANCE_INTERVALS / self.target_rate, self.retry_after_until)

    def reserve(self, now: float, cost: float) -> None:
        """Move the next slot later by the emission interval times the cost of what is sent."""
        if self.rate:
            is_on_time = 0 <= now - self.next_slot_at <= SLOT_LATENESS_TOLERANCE_MS
            slot = self.next_slot_at if is_on_time else max(now, self.next_slot_at)
            self.next_slot_at = slot + cost / self.rate

    def release_slot(self) -> None:
        """Release the reservation of a call that was not sent or not executed."""
        if self.rate:
            self.next_slot_at -= 1.0 / self.rate

    def record_demand(self, now: float) -> None:
        """Record that an event waits for a slot; without such demand the rate does not grow."""
        self.demand_at = now

    def offer_shared_call(self, call: Call, now: float, capacity: int, size_bytes: int) -> None:
        """Let up to `capacity` further events join this call, whose event has this size, in this cycle."""
        remaining_bytes = MAX_CALL_BODY_BYTES - CALL_BODY_FRAME_BYTES - size_bytes
        self.shared_call = SharedCall(call, now, capacity, remaining_bytes)

    def has_joinable_call(self, now: float) -> bool:
        """Return whether further events may join a call of this scheduling cycle."""
        shared = self.shared_call
        return shared is not None and shared.made_at == now and shared.remaining_capacity > 0

    def has_joinable_call_to(self, endpoint: Endpoint, now: float, size_bytes: int) -> bool:
        """Return whether an event of this size may join a call of this scheduling cycle to this endpoint."""
        shared = self.shared_call
        return (
            shared is not None
            and shared.made_at == now
            and shared.remaining_capacity > 0
            and shared.remaining_bytes >= size_bytes
            and shared.call.endpoint is endpoint
        )

    def join_shared_call(self, size_bytes: int) -> Call:
        """Let an event of this size join the call of this scheduling cycle, and return the call."""
        assert self.shared_call is not None
        self.shared_call.remaining_capacity -= 1
        self.shared_call.remaining_bytes -= size_bytes
        return self.shared_call.call

    def apply_retry_after(self, until: float, random_uniform: Callable[[float, float], float]) -> None:
        """Block all calls until the time that a Retry-After gives; the schedule restarts from that time."""
        if until <= self.retry_after_until:
            return
        self.retry_after_until = until
        if self.active_share and self.rate:
            # All nodes that were given the Retry-After resume at the same time, and rejected calls may use up
            # the limit. So this node takes no more than its share among the nodes that can have an event
            # waiting here.
            self.rate = min(self.rate, self.waiting_share * self.listed_rate_confidence)
        delay_ms = random_uniform(0.0, 1.0) / (self.rate or ASSUMED_RATE_PER_MS)
        self.next_slot_at = max(self.next_slot_at, until + delay_ms)

    def extend_retry_after(self, until: float) -> None:
        """Apply a Retry-After that was given to another limiter of the same endpoint."""
        self.retry_after_until = max(self.retry_after_until, until)

    def apply_load_report(self, report: LoadReport) -> None:
        """Correct the listed rate by a reported limit: noise is smoothed, a drop is followed at once."""
        limit = report.limit_per_s / 1000.0
        self.spare_share = report.spare_share if limit > 0 else 1.0
        if limit <= 0 or not self.listed_rate:
            return
        replaces = self.listed_rate_confidence < 1.0 or limit < LIMIT_DROP_RATIO * self.listed_rate
        weight = 1.0 if replaces else REPORT_SMOOTHING
        self.set_listed_rate(self.listed_rate + (limit - self.listed_rate) * weight, 1.0)
        self.rate = min(self.rate or math.inf, self.listed_rate)

    def reduce_rate(self, now: float, was_rejected: bool) -> None:
        """Halve the rate, at most once per adjustment interval; a rejection lowers the target rate too."""
        if now - self.rate_changed_at < ADJUSTMENT_INTERVAL_MS:
            return
        if self.rate is None:
            self._start_pacing(now)
        assert self.rate is not None and self.target_rate is not None
        floor = self._reduction_floor()
        if was_rejected:
            self.target_rate = max(
                min(self.target_rate, max(self.rate, floor)) * TARGET_REDUCTION_FACTOR, floor
            )
        former_rate = self.rate
        self.rate = max(self.rate * REDUCTION_FACTOR, floor * REDUCTION_FACTOR)
        self.rate_changed_at = now
        self.rate_reduced_at = now
        self.has_acked_since_reduction = False
        # The next slot is reserved again at the lower rate.
        self.next_slot_at = max(now, self.next_slot_at) + 1.0 / self.rate - 1.0 / former_rate

    def _start_pacing(self, now: float) -> None:
        self.rate = max(
            MIN_RATE_PER_MS / REDUCTION_FACTOR, self.recent_acks.count(now) / ADJUSTMENT_INTERVAL_MS
        )
        self.target_rate = self.rate
        self.next_slot_at = now + 1.0 / self.rate  # nothing was reserved while calls were not paced

    def _reduction_floor(self) -> float:
        # Return the floor of the target rate; a reduction leaves the rate itself at no less than half of it.
        #
        # This is the reliable part of the equal share, unless no rate is listed, or no call was acked since
        # the last reduction, which means that the listed rate is wrong.
        if self.active_share and self.has_acked_since_reduction:
            return self.equal_share * self.listed_rate_confidence
        return MIN_UNSERVED_RATE_PER_MS

    def record_ack(
        self, now: float, latency_ms: float, is_latency_rise_widespread: Callable[[], bool]
    ) -> None:
        """Learn from an acked call: its latency, and that calls are served at the current rate."""
        self.consecutive_failures = 0
        self.has_acked_since_reduction = True
        self.average_ack_rate.add(now)
        self.recent_acks.add(now)
        if self.recent_latency_ms.add(latency_ms):
            self._compare_latency(now, is_latency_rise_widespread)
        self._grow_rate(now)

    def record_failure(self) -> None:
        """Count a failed call to any endpoint of this limiter."""
        self.consecutive_failures += 1

    def _compare_latency(self, now: float, is_latency_rise_widespread: Callable[[], bool]) -> None:
        median_ms = self.recent_latency_ms.value
        lowest_ms = self.lowest_latency_ms
        self.lowest_latency_ms = min(median_ms, lowest_ms * LOWEST_LATENCY_DRIFT if lowest_ms else median_ms)
        # A rise at the majority of limiters at once is not caused by an overload of this destination.
        if self.latency_has_risen() and not is_latency_rise_widespread():
            self.reduce_rate(now, was_rejected=False)

    def _grow_rate(self, now: float) -> None:
        if self.rate is None:
            return
        assert self.target_rate is not None
        if self.rate < self.target_rate:
            if now - self.rate_changed_at >= ADJUSTMENT_INTERVAL_MS:
                self.rate = min(self.target_rate, self.rate / REDUCTION_FACTOR)
                self.rate_changed_at = now
        elif now - self.demand_at < ADJUSTMENT_INTERVAL_MS:
            # The limit behind an unlisted rate is unknown: the rate grows by a share of itself, and it grows
            # faster the longer ago the last reduction was.
            share = self.active_share or self.target_rate * min(
                MAX_UNLISTED_GROWTH_FACTOR, (now - self.rate_reduced_at) / UNLISTED_GROWTH_MS
            )
            step = GROWTH_SHARE_PER_S * self.spare_share * share / (self.rate * 1000.0)
            max_rate = MAX_LISTED_RATE_MULTIPLE * (self.listed_rate or math.inf)
            self.rate = max(self.rate, min(self.rate + step, max_rate))
            self.target_rate = self.rate

    def unresponsive_after_ms(self) -> float:
        """Return the time without an outcome after which an endpoint is unresponsive, not just slow."""
        return max(MIN_UNRESPONSIVE_MS, UNRESPONSIVE_LATENCIES * self.recent_latency_ms.value)

    def latency_has_risen(self) -> bool:
        """Return whether the median latency is well above its lowest value."""
        lowest_ms = self.lowest_latency_ms
        return lowest_ms is not None and self.recent_latency_ms.value > max(
            LATENCY_RISE_FACTOR * lowest_ms, lowest_ms + MIN_LATENCY_RISE_MS
        )

    def begin_outage(self, began_at: float, served_until: float) -> None:
        """Record when an outage began, and when normal service ended."""
        self.recovery.begin_outage(began_at, self.average_ack_rate.at(served_until))
