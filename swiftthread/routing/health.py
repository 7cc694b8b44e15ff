"""What outcomes say of an endpoint: failures, outages of a destination, ejection by stream type.

Moments and spans are in milliseconds.
"""

from __future__ import annotations

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.endpoint_list import EndpointList
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.messages import UNRELATED_TO_HEALTH, LoadReport, SendOutcome
from swiftthread.routing.observer import EndpointDown, EndpointRecovering, RoutingObserver
from swiftthread.routing.rate_limiter import RateLimiter
from swiftthread.routing.recovery import RecoveryRamp
from swiftthread.routing.settings import Settings, StreamType

# ms without an ack after which one unanswered or unreached call tells of an outage.
LONE_FAILURE_MS = 1000.0
# ms since an ack within which a refused connection, with other calls in flight, says nothing of an outage.
RECENT_ACK_MS = 1000.0
# Calls failing in a row, none between, that tell of an outage; two can be chance.
MAX_CONSECUTIVE_FAILURES = 3
# Calls failed or rejected in a row that tell of one where none was acked for `LONE_FAILURE_MS` before.
MAX_UNACKED_FAILURES = 2
# Smoothed share of failed calls from which an endpoint counts as failing.
MAX_FAILURE_RATIO = 0.6
# Weight of the newest call in that share: it tells of about the last dozen calls.
FAILURE_SMOOTHING = 0.15
# ms of Retry-After: longer than the spans that limits are counted in.
SHUT_AFTER_MS = 2100.0
# ms: least pause before a failing endpoint is tried; a few round trips.
MIN_TRIAL_PAUSE_MS = 300.0
# Bounds of the random factor of the pause after a full connection table.
FULL_TABLE_PAUSE_FACTORS = (0.5, 1.5)
# ms of such answers alone, at the destination, that are held to be an outage: longer than a crowd lasts.
FULL_TABLE_OUTAGE_MS = 1500.0
# Share of the time for a connect: one that fails sooner was refused, not unanswered.
PROMPT_CONNECT_SHARE = 0.5
# ms for which a stream type is not sent to an endpoint that failed it; some latency objectives.
STREAM_TYPE_EJECTION_MS = 5000.0
# Fewest limiters with a known latency by which a rise everywhere can be told.
MIN_COMPARED_LIMITERS = 3


class HealthTracker:
    """Learns from outcomes which endpoints are down, and which of their stream types fail."""

    def __init__(
        self,
        settings: Settings,
        endpoint_list: EndpointList,
        recovery: RecoveryRamp,
        jitter: Jitter,
        observer: RoutingObserver,
    ) -> None:
        self.endpoint_list = endpoint_list
        self.recovery = recovery
        self.jitter = jitter
        self.observer = observer
        self.prompt_connect_ms = PROMPT_CONNECT_SHARE * settings.connect_timeout_ms
        self.down_endpoints: dict[Endpoint, bool] = {}
        """Endpoints that are down, in the order they went; removed by an ack or the endpoint list."""

    def forget(self, endpoint: Endpoint) -> None:
        """Drop an endpoint that left the endpoint list."""
        self.down_endpoints.pop(endpoint, None)

    def record_retry_after(
        self, endpoint: Endpoint, outcome: SendOutcome, now: float, wait_ms: float
    ) -> None:
        """Learn from a Retry-After: a rejection with a long one tells of a destination that is shut."""
        if outcome == SendOutcome.RATE_LIMITED and wait_ms > SHUT_AFTER_MS and not endpoint.is_down:
            self._mark_down(endpoint, outcome, now)

    def record_stream_type_outcome(
        self, endpoint: Endpoint, stream_type: StreamType, outcome: SendOutcome, now: float
    ) -> None:
        """Eject an endpoint for the stream type that it failed, until it acks one of it."""
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
        """Learn from the outcome of a call."""
        if load_report:
            endpoint.rate_limiter.apply_load_report(load_report)
        if outcome in UNRELATED_TO_HEALTH:
            return
        endpoint.last_outcome_at = now
        if outcome == SendOutcome.CONNECTION_LIMIT:
            self._record_full_table(endpoint, now)
        elif outcome == SendOutcome.ACKED:
            self._record_ack(endpoint, now, latency_ms)
        elif outcome == SendOutcome.RATE_LIMITED:
            if not endpoint.is_down:
                endpoint.rate_limiter.reduce_rate(now, was_rejected=True)
            self._record_failure(endpoint, outcome, now, latency_ms)
        else:
            self._record_error(endpoint, outcome, now, latency_ms)

    def _record_full_table(self, endpoint: Endpoint, now: float) -> None:
        """Not its limit, and not its health while it acks others: its table of connections is full.

        Hurts where a table stays full for seconds under ordinary load.
        """
        endpoint.connection_limit_reached_at = now
        endpoint.retry_at = now + MIN_TRIAL_PAUSE_MS * self.jitter.uniform(*FULL_TABLE_PAUSE_FACTORS)
        if not endpoint.consecutive_rejected_connections:
            endpoint.connections_rejected_since = now
        endpoint.consecutive_rejected_connections += 1
        # An endpoint that is out may reject nothing but connections, and nodes that come again and again at a
        # fixed pause are all there when it returns.
        rejected_ms = now - endpoint.connections_rejected_since
        if not endpoint.is_down and min(rejected_ms, self._unacked_ms(endpoint, now)) > FULL_TABLE_OUTAGE_MS:
            endpoint.consecutive_failures = max(endpoint.consecutive_failures, 1)
            self._mark_down(endpoint, SendOutcome.CONNECTION_LIMIT, now)

    def _rejected_connections_long(self, endpoint: Endpoint, now: float) -> bool:
        """Whether two connections or more were rejected in a row, and nothing acked for long."""
        is_row = endpoint.consecutive_rejected_connections >= MAX_UNACKED_FAILURES
        return is_row and self._has_destination_long_acked_nothing(endpoint, now)

    def _record_ack(self, endpoint: Endpoint, now: float, latency_ms: float) -> None:
        may_return = endpoint.is_down or self._rejected_connections_long(endpoint, now)
        endpoint.acked_at = now
        endpoint.consecutive_failures = 0
        endpoint.consecutive_rejected_connections = 0
        endpoint.failure_ratio = endpoint.failure_ratio * (1 - FAILURE_SMOOTHING)
        if may_return:
            self._begin_warm_up(endpoint, now)
        endpoint.rate_limiter.record_ack(now, latency_ms, self._is_slow_everywhere)

    def _begin_warm_up(self, endpoint: Endpoint, now: float) -> None:
        limiter = endpoint.rate_limiter
        trial_pause_ms = self.recovery.mean_trial_pause_ms(endpoint, now)
        calls_ahead = max(0.0, limiter.next_recovery_slot_at - now) / trial_pause_ms
        # It came back some time since the last failure: in the mean over all nodes, half way. Nodes that had
        # no event to try it with would all count from long before it was back, so a pause ago at most.
        out_until = max(
            endpoint.failed_at, limiter.outage_began_at, limiter.retry_after_until, now - trial_pause_ms
        )
        endpoint.is_down = False
        endpoint.is_unresponsive = False
        endpoint.warm_up_began_at = (out_until + now) / 2
        self.down_endpoints.pop(endpoint, None)
        endpoint.failure_ratio = min(endpoint.failure_ratio, MAX_FAILURE_RATIO / 2)
        # What trials and health checks have booked stays booked, at the pace of the warm-up.
        limiter.set_next_recovery_slot(now + self.recovery.pause_ms(endpoint, now, calls_ahead))
        self.observer.endpoint_recovering(
            EndpointRecovering(
                endpoint.endpoint_id,
                endpoint.destination.number,
                warm_up_elapsed_ms=now - endpoint.warm_up_began_at,
                next_call_ms=limiter.next_recovery_slot_at - now,
            )
        )

    def _record_error(self, endpoint: Endpoint, outcome: SendOutcome, now: float, latency_ms: float) -> None:
        if outcome == SendOutcome.UNREACHABLE and latency_ms < self.prompt_connect_ms:
            # A connect that fails at once, maybe while others are answered, can be a full connection table.
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
        endpoint.is_unresponsive = outcome == SendOutcome.TIMED_OUT
        endpoint.has_passed_health_check = False
        if endpoint.is_down:
            return
        if (
            endpoint.failure_ratio > MAX_FAILURE_RATIO
            or self._fails_in_a_row(endpoint, outcome, now)
            or self._tells_of_outage(endpoint, outcome, latency_ms)
            and self._has_long_acked_nothing(endpoint, now)
        ):
            self._mark_down(endpoint, outcome, now)
        elif self._limiter_fails(endpoint.rate_limiter) and outcome != SendOutcome.RATE_LIMITED:
            endpoint.rate_limiter.reduce_rate(now, was_rejected=False)

    def _fails_in_a_row(self, endpoint: Endpoint, outcome: SendOutcome, now: float) -> bool:
        """Whether failures or rejections in a row are more than chance."""
        # Most nodes meet an outage with a call or two. On the return the sum of their calls counts: those
        # that go on at their usual rate push the destination over, however well the others slow down.
        failures = sum(
            other.consecutive_failures + other.consecutive_rejected_connections
            for other in endpoint.destination.endpoints
        )
        is_row = outcome != SendOutcome.RESET and failures >= MAX_UNACKED_FAILURES
        if is_row and self._has_destination_long_acked_nothing(endpoint, now):
            return True
        return (
            outcome != SendOutcome.RATE_LIMITED and endpoint.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        )

    def _tells_of_outage(self, endpoint: Endpoint, outcome: SendOutcome, latency_ms: float) -> bool:
        """Whether one failure is of a kind that an outage gives.

        A node of little traffic may see one call fail in all of an outage, and counts.
        """
        if outcome == SendOutcome.TIMED_OUT:
            return True
        if outcome == SendOutcome.UNREACHABLE and latency_ms >= self.prompt_connect_ms:
            return True
        return self._limiter_fails(endpoint.rate_limiter) and outcome in (
            SendOutcome.UNREACHABLE,
            SendOutcome.FAILED,
        )

    def _has_long_acked_nothing(self, endpoint: Endpoint, now: float) -> bool:
        last_sign_at = max(endpoint.acked_at, self.recovery.warm_up_ends_at(endpoint))
        return now - last_sign_at > LONE_FAILURE_MS

    def _has_destination_long_acked_nothing(self, endpoint: Endpoint, now: float) -> bool:
        return self._unacked_ms(endpoint, now) > LONE_FAILURE_MS

    def _unacked_ms(self, endpoint: Endpoint, now: float) -> float:
        """Ms since its destination acked a call, or an endpoint of it was to be warm."""
        return min(
            now - max(other.acked_at, self.recovery.warm_up_ends_at(other))
            for other in [endpoint, *endpoint.destination.endpoints]
        )

    @staticmethod
    def _limiter_fails(limiter: RateLimiter) -> bool:
        """Whether calls failed in a row at all endpoints of the limiter together."""
        return limiter.consecutive_failures >= MAX_CONSECUTIVE_FAILURES

    def _mark_down(self, endpoint: Endpoint, outcome: SendOutcome, now: float) -> None:
        """Hold an endpoint, and maybe those that share its limiter, to be down.

        Guards against an outage of the whole destination of which this node sees little: endpoints beside it
        that long acked nothing get one trial, none when shut. Hurts where one endpoint alone is out.
        """
        if not self.endpoint_list.is_current(endpoint):
            return  # its call outlasted it: another is listed under its id, or none
        siblings = [
            other
            for other in endpoint.destination.endpoints
            if other.rate_limiter is endpoint.rate_limiter and other is not endpoint
        ]
        is_shut = outcome == SendOutcome.RATE_LIMITED
        self._begin_outage(endpoint, siblings, now)
        newly_down = [endpoint]
        for other in siblings:
            if is_shut or other.acked_at < now - self.recovery.warm_up_ms / 2:
                if not other.is_down:
                    newly_down.append(other)
                other.is_down = True
                self.down_endpoints[other] = True
                other.consecutive_failures = max(other.consecutive_failures, int(is_shut))
        endpoint.is_down = True
        self.down_endpoints[endpoint] = True
        self._schedule_first_trial(endpoint, now)
        for down in newly_down:
            self._report_down(down, outcome if down is endpoint else None, now)

    def _report_down(self, endpoint: Endpoint, outcome: SendOutcome | None, now: float) -> None:
        self.observer.endpoint_down(
            EndpointDown(
                endpoint.endpoint_id,
                endpoint.destination.number,
                last_outcome=outcome,
                consecutive_failures=endpoint.consecutive_failures,
                unacked_ms=now - endpoint.acked_at,
                next_trial_ms=endpoint.rate_limiter.next_recovery_slot_at - now,
            )
        )

    def _begin_outage(self, endpoint: Endpoint, siblings: list[Endpoint], now: float) -> None:
        """Keep when the outage began and what was usual before, unless this continues one."""
        affected = [endpoint, *siblings]
        if any(other.is_down or self.recovery.is_warming_up(other, now) for other in affected):
            return
        # It may have begun any time since the last ack, and it does not lessen the usual share.
        began_at = max(now - self.recovery.warm_up_ms, *(other.acked_at for other in affected))
        served_until = endpoint.failing_since if endpoint.consecutive_failures else now
        endpoint.rate_limiter.begin_outage(began_at, served_until)

    def _schedule_first_trial(self, endpoint: Endpoint, now: float) -> None:
        limiter = endpoint.rate_limiter
        pause_ms = self.recovery.pause_ms(endpoint, now) * self.jitter.uniform(0.0, 1.0)
        limiter.set_next_recovery_slot(
            max(now, limiter.retry_after_until) + max(MIN_TRIAL_PAUSE_MS, pause_ms)
        )

    def _is_slow_everywhere(self) -> bool:
        """Whether latency has risen at more than half of the limiters that have a known one."""
        known = [
            limiter for limiter in self.endpoint_list.rate_limiters() if limiter.lowest_latency_ms is not None
        ]
        risen = sum(limiter.latency_has_risen() for limiter in known)
        return len(known) >= MIN_COMPARED_LIMITERS and risen * 2 > len(known)
