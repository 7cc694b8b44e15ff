"""Endpoint health from call outcomes: failures, outages of a destination, ejection by stream type."""
# Times and durations are in milliseconds.

from __future__ import annotations

import math

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.endpoint_list import EndpointList
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.messages import REJECTED, UNRELATED_TO_HEALTH, LoadReport, SendOutcome
from swiftthread.routing.observer import EndpointDown, EndpointRecovering, RoutingObserver
from swiftthread.routing.rate_limiter import RateLimiter
from swiftthread.routing.recovery import RecoveryPacing
from swiftthread.routing.settings import Settings, StreamType

# After this time without an ack, one call without a response or a connection indicates an outage.
OUTAGE_UNACKED_MS = 1000.0
# A refused connection does not indicate an outage if the endpoint acked a call within this time and other
# calls to it are in flight.
RECENT_ACK_MS = 1000.0
# Consecutive failed calls that indicate an outage; two can be chance.
OUTAGE_CONSECUTIVE_FAILURES = 3
# Consecutive unacked calls, of whatever kind, that indicate an outage if the destination acked no call within
# `OUTAGE_UNACKED_MS`.
OUTAGE_UNACKED_FAILURES = 2
# The same number for an endpoint that warms up, because it rejects many calls.
OUTAGE_WARM_UP_FAILURES = 3
# A run of rejected connections at an endpoint with a connection limit is usual, and no outage, if one of its
# length is more probable than this and it is shorter than the maximum.
USUAL_RUN_PROBABILITY = 0.02
MAX_USUAL_REJECTED_CONNECTIONS = 5
# An endpoint is marked down when its smoothed share of failed calls exceeds this ratio.
MAX_FAILURE_RATIO = 0.6
# Weight of the newest call in the smoothed share, which thus reflects about the last dozen calls.
FAILURE_SMOOTHING = 0.15
# A rejection with a longer Retry-After means that the destination rejects all calls: the windows in which
# rate limits are counted are shorter.
OUTAGE_RETRY_AFTER_MS = 2100.0
# Minimum pause before a failing endpoint is tried again; a few round trips.
MIN_TRIAL_PAUSE_MS = 300.0
# Bounds of the random factor by which the pause after a rejected connection is multiplied.
REJECTED_CONNECTION_PAUSE_FACTORS = (0.5, 1.5)
# A connect that fails within this share of the connect timeout was refused, not left without a response.
PROMPT_CONNECT_SHARE = 0.5
# Events of a stream type are not sent to an endpoint for this long after one of them failed there; it covers
# several latency objectives.
STREAM_TYPE_EJECTION_MS = 5000.0
# Number of outcomes that are reported when an endpoint goes down or recovers.
MAX_REPORTED_OUTCOMES = 4
# Minimum number of limiters with a known latency from which a widespread rise of latency can be detected.
MIN_COMPARED_LIMITERS = 3


class HealthTracker:
    """Learns from outcomes which endpoints are down, and which stream types fail at an endpoint."""

    def __init__(
        self,
        settings: Settings,
        endpoint_list: EndpointList,
        recovery: RecoveryPacing,
        jitter: Jitter,
        observer: RoutingObserver,
    ) -> None:
        self.endpoint_list = endpoint_list
        self.recovery = recovery
        self.jitter = jitter
        self.observer = observer
        self.prompt_connect_ms = PROMPT_CONNECT_SHARE * settings.connect_timeout_ms
        self.down_endpoints: dict[Endpoint, bool] = {}
        """Endpoints that are down, in the order in which they were marked down.

        An ack, or removal from the endpoint list, deletes the entry.
        """

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Delete the state of an endpoint that was removed from the endpoint list."""
        self.down_endpoints.pop(endpoint, None)

    def record_retry_after(
        self, endpoint: Endpoint, outcome: SendOutcome, now: float, retry_after_ms: float
    ) -> None:
        """Mark an endpoint down after a rejection whose Retry-After means that all calls are rejected."""
        if (
            outcome == SendOutcome.RATE_LIMITED
            and retry_after_ms > OUTAGE_RETRY_AFTER_MS
            and not endpoint.is_down
        ):
            self._mark_down(endpoint, outcome, now)

    def record_stream_type_outcome(
        self, endpoint: Endpoint, stream_type: StreamType, outcome: SendOutcome, now: float
    ) -> None:
        """Eject an endpoint for a stream type that failed there, until it acks an event of that type."""
        if outcome in (SendOutcome.FAILED, SendOutcome.TIMED_OUT, SendOutcome.RESET):
            endpoint.ejected_until_by_stream_type[stream_type] = now + STREAM_TYPE_EJECTION_MS
        elif outcome == SendOutcome.ACKED:
            endpoint.ejected_until_by_stream_type.pop(stream_type, None)

    def record_call(
        self,
        endpoint: Endpoint,
        outcome: SendOutcome,
        now: float,
        latency_ms: float,
        load_report: LoadReport | None,
    ) -> None:
        """Update the state of an endpoint and its limiter by the outcome of a call."""
        if load_report:
            endpoint.rate_limiter.apply_load_report(load_report)
        if outcome in UNRELATED_TO_HEALTH:
            return
        endpoint.last_outcome_at = now
        if outcome != SendOutcome.ACKED:
            endpoint.unacked_outcomes = (*endpoint.unacked_outcomes, outcome)[-MAX_REPORTED_OUTCOMES:]
        if outcome == SendOutcome.CONNECTION_LIMIT:
            self._record_rejected_connection(endpoint, now, latency_ms)
        elif outcome == SendOutcome.ACKED:
            self._record_ack(endpoint, now, latency_ms)
        elif outcome == SendOutcome.RATE_LIMITED:
            if not endpoint.is_down:
                endpoint.rate_limiter.reduce_rate(now, was_rejected=True)
            self._record_failure(endpoint, outcome, now, latency_ms)
        else:
            self._record_error(endpoint, outcome, now, latency_ms)

    def _record_rejected_connection(self, endpoint: Endpoint, now: float, latency_ms: float) -> None:
        # Record that the endpoint rejected a connection because it has reached its connection limit.
        #
        # This does not mean that the rate limit is exceeded, so the rate stays as it is. The cost arises
        # where the connection limit stays reached for seconds under ordinary load: all calls to the endpoint
        # pause, and it is marked down if its destination acks nothing meanwhile.
        endpoint.connection_limit_reached_at = now
        endpoint.blocked_until = now + MIN_TRIAL_PAUSE_MS * self.jitter.uniform(
            *REJECTED_CONNECTION_PAUSE_FACTORS
        )
        endpoint.consecutive_rejected_connections += 1
        self._record_failure(endpoint, SendOutcome.CONNECTION_LIMIT, now, latency_ms)

    @staticmethod
    def _learn_rejected_connection_share(endpoint: Endpoint) -> None:
        # Record how usual rejected connections are at an endpoint that has now acked a call.
        share = endpoint.rejected_connection_share
        for _ in range(endpoint.consecutive_rejected_connections):
            share += FAILURE_SMOOTHING * (1 - share)
        endpoint.rejected_connection_share = share * (1 - FAILURE_SMOOTHING)

    @staticmethod
    def _is_usual_connection_limit(endpoint: Endpoint) -> bool:
        # Return whether the rejected connections since the last ack may be chance at this endpoint.
        #
        # A connection limit lets some calls through in any second, an outage none. So what tells them apart
        # is how often this node has been rejected between two acks.
        count = endpoint.consecutive_rejected_connections
        is_run_of_rejected_connections = count == endpoint.consecutive_failures
        return (
            is_run_of_rejected_connections
            and count < MAX_USUAL_REJECTED_CONNECTIONS
            and endpoint.rejected_connection_share**count > USUAL_RUN_PROBABILITY
        )

    def _record_ack(self, endpoint: Endpoint, now: float, latency_ms: float) -> None:
        recovery = endpoint.rate_limiter.recovery
        is_destination_unacked = self._destination_lacks_recent_ack(endpoint, now)
        may_be_recovering = endpoint.is_down or (
            endpoint.consecutive_failures >= OUTAGE_UNACKED_FAILURES
            and is_destination_unacked
            and not self._is_usual_connection_limit(endpoint)
        )
        if not may_be_recovering:
            self._learn_rejected_connection_share(endpoint)
        ends_common_outage = may_be_recovering and (recovery.is_down or is_destination_unacked)
        recovery.is_down = False
        endpoint.acked_at = now
        endpoint.consecutive_failures = 0
        endpoint.consecutive_rejected_connections = 0
        endpoint.failure_ratio = endpoint.failure_ratio * (1 - FAILURE_SMOOTHING)
        if may_be_recovering:
            self._begin_warm_up(endpoint, now, ends_common_outage)
        endpoint.unacked_outcomes = ()
        endpoint.rate_limiter.record_ack(now, latency_ms, self._is_latency_rise_widespread)

    def _begin_warm_up(self, endpoint: Endpoint, now: float, ends_common_outage: bool) -> None:
        # Begin the warm-up of an endpoint that acked a call, and that of its whole destination or route if no
        # other endpoint acked one in the outage.
        limiter = endpoint.rate_limiter
        recovery = limiter.recovery
        trial_pause_ms = self.recovery.mean_trial_pause_ms(endpoint, now)
        reserved_calls = max(0.0, recovery.next_slot_at - now) / trial_pause_ms
        # The endpoint recovered at an unknown time since the last failure; the mean over all nodes is half
        # way. Nodes that had no event to try it with would all assume a time long before the recovery, so the
        # interval starts at most one mean trial pause ago.
        failed_at = endpoint.failed_at if endpoint.failed_at > -math.inf else recovery.failed_at
        down_until = max(failed_at, recovery.outage_began_at, limiter.retry_after_until, now - trial_pause_ms)
        endpoint.is_marked_down = False
        endpoint.is_unresponsive = False
        endpoint.own_warm_up_began_at = (down_until + now) / 2
        if ends_common_outage:
            recovery.warm_up_began_at = endpoint.own_warm_up_began_at
        self.down_endpoints.pop(endpoint, None)
        endpoint.failure_ratio = min(endpoint.failure_ratio, MAX_FAILURE_RATIO / 2)
        # Slots that trials and health checks have reserved stay reserved, at the pace of the warm-up.
        recovery.next_slot_at = now + self.recovery.pause_ms(endpoint, now, reserved_calls)
        self.observer.endpoint_recovering(
            EndpointRecovering(
                endpoint.endpoint_id,
                endpoint.destination.number,
                endpoint.unacked_outcomes,
                time_since_failure_ms=now - endpoint.failed_at,
                warm_up_elapsed_ms=now - endpoint.warm_up_began_at,
                time_to_next_call_ms=recovery.next_slot_at - now,
            )
        )

    def _record_error(self, endpoint: Endpoint, outcome: SendOutcome, now: float, latency_ms: float) -> None:
        if outcome == SendOutcome.UNREACHABLE and latency_ms < self.prompt_connect_ms:
            # A connect that fails at once can mean that the connection limit is reached, and the endpoint may
            # respond to other calls meanwhile.
            endpoint.connection_limit_reached_at = now
            if endpoint.calls_in_flight and now - endpoint.acked_at < RECENT_ACK_MS:
                return
        endpoint.rate_limiter.record_failure()
        endpoint.failure_ratio += FAILURE_SMOOTHING * (1 - endpoint.failure_ratio)
        self._record_failure(endpoint, outcome, now, latency_ms)

    def _record_failure(
        self, endpoint: Endpoint, outcome: SendOutcome, now: float, latency_ms: float
    ) -> None:
        if not endpoint.consecutive_failures:
            endpoint.failing_since = now
        endpoint.consecutive_failures += 1
        endpoint.failed_at = now
        endpoint.rate_limiter.recovery.failed_at = now
        endpoint.is_unresponsive = outcome == SendOutcome.TIMED_OUT
        endpoint.has_passed_health_check = False
        if endpoint.is_down:
            self._set_marked_down(endpoint)
            return
        if (
            endpoint.failure_ratio > MAX_FAILURE_RATIO
            or self._has_consecutive_failures(endpoint, outcome, now)
            or self._indicates_outage(endpoint, outcome, latency_ms)
            and self._lacks_recent_ack(endpoint, now)
        ):
            self._mark_down(endpoint, outcome, now)
        elif self._is_limiter_failing(endpoint.rate_limiter) and outcome not in REJECTED:
            endpoint.rate_limiter.reduce_rate(now, was_rejected=False)

    def _has_consecutive_failures(self, endpoint: Endpoint, outcome: SendOutcome, now: float) -> bool:
        # Return whether there are too many consecutive unacked calls to be chance.
        #
        # The kind of the failure makes no difference: an outage may show as any of them, and each is common
        # under load as well. Most nodes see an outage in one or two of their calls only. When the destination
        # recovers, the calls of all nodes add up: nodes that go on at their normal rate overload it, however
        # much the others slow down.
        failures = sum(other.consecutive_failures for other in endpoint.destination.endpoints)
        if self._lacks_acks(endpoint, failures, now):
            return not self._is_usual_connection_limit(endpoint)
        return outcome not in REJECTED and endpoint.consecutive_failures >= OUTAGE_CONSECUTIVE_FAILURES

    def _lacks_acks(self, endpoint: Endpoint, failures: int, now: float) -> bool:
        # Return whether the destination acked nothing for too long, and too many calls failed meanwhile.
        if failures >= OUTAGE_UNACKED_FAILURES and self._destination_lacks_recent_ack(endpoint, now):
            return True
        is_unacked_in_warm_up = now - self._destination_acked_at(endpoint) > OUTAGE_UNACKED_MS
        return is_unacked_in_warm_up and endpoint.consecutive_failures >= OUTAGE_WARM_UP_FAILURES

    def _indicates_outage(self, endpoint: Endpoint, outcome: SendOutcome, latency_ms: float) -> bool:
        # Return whether a single failure is of a kind that an outage causes.
        #
        # A node with little traffic may see only one call fail during a whole outage, and its calls add to
        # the load on the recovering destination all the same.
        if outcome == SendOutcome.TIMED_OUT:
            return True
        if outcome == SendOutcome.UNREACHABLE and latency_ms >= self.prompt_connect_ms:
            return True
        return self._is_limiter_failing(endpoint.rate_limiter) and outcome in (
            SendOutcome.UNREACHABLE,
            SendOutcome.FAILED,
        )

    def _lacks_recent_ack(self, endpoint: Endpoint, now: float) -> bool:
        healthy_at = max(endpoint.acked_at, self.recovery.warm_up_ends_at(endpoint))
        return now - healthy_at > OUTAGE_UNACKED_MS

    def _destination_lacks_recent_ack(self, endpoint: Endpoint, now: float) -> bool:
        # A later due end of the warm-up of an endpoint of the destination counts like an ack at that time.
        warm_up_ends_at = max(
            self.recovery.warm_up_ends_at(other) for other in [endpoint, *endpoint.destination.endpoints]
        )
        return now - max(self._destination_acked_at(endpoint), warm_up_ends_at) > OUTAGE_UNACKED_MS

    @staticmethod
    def _destination_acked_at(endpoint: Endpoint) -> float:
        # Return when the destination of an endpoint last acked a call; -inf if it never did.
        return max(other.acked_at for other in [endpoint, *endpoint.destination.endpoints])

    @staticmethod
    def _is_limiter_failing(limiter: RateLimiter) -> bool:
        # Return whether consecutive calls failed, counted over all endpoints of the limiter.
        return limiter.consecutive_failures >= OUTAGE_CONSECUTIVE_FAILURES

    def _mark_down(self, endpoint: Endpoint, outcome: SendOutcome, now: float) -> None:
        # Mark an endpoint down, and possibly the endpoints that share its limiter.
        #
        # This protects against an outage of the whole destination of which this node sees little: endpoints
        # that share the limiter and have not acked a call for half a warm-up are marked down too, and each of
        # them that has not failed itself gets one trial that waits for no recovery slot. If the destination
        # rejects all calls, all of them are marked down and get no such trial. The cost: endpoints that work
        # are slowed down where one endpoint alone is down.
        if not self.endpoint_list.is_current(endpoint):
            return  # the call outlived the endpoint: its id is not listed now, or names another one
        siblings = [
            other
            for other in endpoint.destination.endpoints
            if other.rate_limiter is endpoint.rate_limiter and other is not endpoint
        ]
        rejects_all_calls = outcome == SendOutcome.RATE_LIMITED
        self._begin_outage(endpoint, siblings, now)
        newly_down = [endpoint]
        for other in siblings:
            if rejects_all_calls or other.acked_at < now - self.recovery.warm_up_ms / 2:
                if not other.is_down:
                    newly_down.append(other)
                self._set_marked_down(other)
                other.consecutive_failures = max(other.consecutive_failures, int(rejects_all_calls))
        self._set_marked_down(endpoint)
        endpoint.rate_limiter.recovery.is_down = True
        self._schedule_first_trial(endpoint, now)
        for down_endpoint in newly_down:
            self._report_down(down_endpoint, now)

    def _set_marked_down(self, endpoint: Endpoint) -> None:
        if self.endpoint_list.is_current(endpoint):
            endpoint.is_marked_down = True
            self.down_endpoints[endpoint] = True

    def _report_down(self, endpoint: Endpoint, now: float) -> None:
        self.observer.endpoint_down(
            EndpointDown(
                endpoint.endpoint_id,
                endpoint.destination.number,
                endpoint.unacked_outcomes,
                consecutive_failures=endpoint.consecutive_failures,
                time_since_ack_ms=now - endpoint.acked_at,
                time_to_next_trial_ms=endpoint.rate_limiter.recovery.next_slot_at - now,
            )
        )

    def _begin_outage(self, endpoint: Endpoint, siblings: list[Endpoint], now: float) -> None:
        # Record when the outage began and the ack rate before it, unless it continues an earlier outage.
        affected = [endpoint, *siblings]
        if any(other.is_down or self.recovery.is_warming_up(other, now) for other in affected):
            return
        # The outage may have begun at any time since the last ack, within one warm-up. The average ack rate
        # is read at the first failure, so that the outage does not lower it.
        began_at = max(now - self.recovery.warm_up_ms, *(other.acked_at for other in affected))
        served_until = endpoint.failing_since if endpoint.consecutive_failures else now
        endpoint.rate_limiter.begin_outage(began_at, served_until)

    def _schedule_first_trial(self, endpoint: Endpoint, now: float) -> None:
        limiter = endpoint.rate_limiter
        pause_ms = self.recovery.pause_ms(endpoint, now) * self.jitter.uniform(0.0, 1.0)
        trial_at = max(now, limiter.retry_after_until) + max(MIN_TRIAL_PAUSE_MS, pause_ms)
        limiter.recovery.next_slot_at = trial_at

    def _is_latency_rise_widespread(self) -> bool:
        # Return whether latency has risen at more than half of the limiters with a known latency.
        known = [
            limiter for limiter in self.endpoint_list.rate_limiters() if limiter.lowest_latency_ms is not None
        ]
        risen = sum(limiter.latency_has_risen() for limiter in known)
        return len(known) >= MIN_COMPARED_LIMITERS and risen * 2 > len(known)
