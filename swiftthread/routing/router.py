"""Every decision of swiftthread, for one delivery node that sees only its own traffic.

A caller builds one `Router`, hands in events (`add_event`) and what it learns (`apply_endpoint_list`,
`list_request_failed`, `withdraw`, `record_probe`), puts the events that may be decided in order
(`sort_by_urgency`), and makes three calls: `decide` (a `Send`, `Defer`, `Reject` or `Abandon`),
`record_outcome` (what an outcome means for the event) and `next_check` (when to decide again after a
`Defer`). `endpoints_to_probe`, `endpoints_to_disconnect`, `should_request_list` and `next_wakeup_at` are
for once a turn. The design, what was kept and changed: docs/design.md.
"""

import math

from swiftthread.routing.admission import PendingCapacity, TenantQuotas, queue_drain_time_ms
from swiftthread.routing.call_slots import CallSlots
from swiftthread.routing.endpoint_list import EndpointList
from swiftthread.routing.events import Call, Event
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.list_polling import ListPolling
from swiftthread.routing.messages import NEVER_RAN, Abandon, Defer, NextCheck, Reject, Send, SendOutcome
from swiftthread.routing.ordering import OrderingQueues
from swiftthread.routing.rate_limiter import (
    ASSUMED_RATE_PER_MS,
    CALL_COST,
    SHARED_EVENT_COST,
)
from swiftthread.routing.recovery import RecoveryRamp
from swiftthread.routing.retry_rules import (
    RetryRules,
    deduplication_group,
    is_bound_to_group,
    is_safe_to_reject,
    may_go_to,
)
from swiftthread.routing.settings import Settings
from swiftthread.routing.timeouts import AttemptTimeouts
from swiftthread.routing.urgency import UrgencyRanking

LONE_FAILURE_MS = 1000.0  # ms without an ack after which one unanswered or unreached call tells of an outage
MAX_CONSECUTIVE_FAILURES = 3  # calls failing in a row, none between: an error run; two can be chance
MAX_FAILURE_RATIO = 0.6  # share of failed calls, smoothed, from which a sink counts as failing
SMOOTHING_WEIGHT = 0.15  # weight of the newest call in that share; about the last dozen calls
MIN_TRIAL_PAUSE_MS = 300.0  # ms: least pause before a failing sink is tried; a few round trips
PROMPT_CONNECT_SHARE = 0.5  # of the time for a connect: one that fails sooner was refused, not unanswered
FULL_TABLE_MS = 20000.0  # ms for which a refused connect says that the endpoint's table is short of room
MIN_CONNECTION_USE, MIN_CONNECTION_USE_MS = (
    0.2,
    50.0,
)  # share of the time from which a connection is kept: in use, or being made anew
SHUT_AFTER_MS, MAX_CONSECUTIVE_REJECTIONS = (
    2100.0,
    1,
)  # ms told to wait, or refused in a row for that long: shut; fewer are chance
STREAM_TYPE_EJECTION_MS = (
    5000.0  # ms for which a stream type goes past an endpoint that failed it; some SLO times
)


class Router:
    """The decisions of one delivery node."""

    def __init__(self, settings: Settings, seed: int):
        self.settings = settings
        self.jitter = Jitter(seed)
        self.stream_types = list(settings.stream_types)
        self.recovery = RecoveryRamp(settings, self.jitter)
        self.retry_rules = RetryRules(settings)
        self.timeouts = AttemptTimeouts(settings, self.recovery)
        self.urgency = UrgencyRanking(settings)
        self.slots = CallSlots(settings.max_calls_in_flight)
        self.quotas = TenantQuotas(settings)
        self.ordering = OrderingQueues(settings.ordering_rest_ms)
        self.endpoint_list = EndpointList(settings, self.recovery)
        self.list_polling = ListPolling(settings, self.jitter)
        self.pending = PendingCapacity(settings, self.endpoint_list.destinations)
        # Endpoints that are down, in the order they went; emptied by an ack or the list.
        self.down_endpoints: dict = {}
        self.newly_idle: dict = {}  # endpoints whose last call out has ended; emptied each turn
        self.prompt_connect_ms = PROMPT_CONNECT_SHARE * settings.connect_timeout_ms

    @property
    def random_uniform(self):
        """The source of all random draws of this router."""
        return self.jitter.uniform

    @random_uniform.setter
    def random_uniform(self, uniform):
        self.jitter.uniform = uniform

    @property
    def calls_in_flight(self):
        """How many calls have not ended."""
        return self.slots.in_flight

    @property
    def pending_count(self):
        """How many events are pending."""
        return self.pending.pending_count

    @property
    def endpoints(self):
        """The known endpoints by id."""
        return self.endpoint_list.endpoints

    @property
    def destinations(self):
        """The known destinations by number."""
        return self.endpoint_list.destinations

    def add_event(self, now, stream_type_number, destination_number, left, tenant=None, subject=0):
        """Hold an event. `tenant`: its place among the quotas; None is none of them."""
        stream_type, destination = (
            self.stream_types[stream_type_number],
            self.endpoint_list.destination(destination_number),
        )
        expires_at = now + left
        event = Event(
            stream_type=stream_type,
            destination=destination,
            ordering_key=subject if stream_type.is_ordered else 0,
            priority_weight=self.quotas.weight(stream_type, tenant, now),
            latency_objective_at=expires_at - stream_type.max_age_ms + stream_type.latency_objective_ms,
            expires_at=expires_at,
            check_at=now,
        )
        self.pending.add(destination)
        if event.ordering_key:
            self.ordering.add(event, now)
        return event

    def apply_endpoint_list(self, entries, whole, now):
        """Take an endpoint list in, or what changed of it."""
        self.list_polling.record_list()
        for endpoint in self.endpoint_list.apply(entries, whole, now):
            self.down_endpoints.pop(endpoint, None)

    def list_request_failed(self, now):
        """Returns when to request the list again."""
        return self.list_polling.record_failure(now)

    def should_request_list(self, now):
        """Whether to request the list now; true once until the next failure."""
        return self.list_polling.take_request(now)

    def withdraw(self, event, now):
        self._release(event)

    def sort_by_urgency(self, events, now):
        return self.urgency.sort(events, now)

    def ranking_horizon_ms(self, destination, now):
        """Ms by which the events of a destination are ranked: what its whole queue takes."""
        return self.urgency.horizon_ms(destination, now)

    def urgency_rank(self, event, span, now):
        """Events of lower rank are decided first."""
        return self.urgency.rank(event, span, now)

    def ordering_turn_at(self, event, now):
        """When its ordering key's turn is this event's: `now`, later, or inf: after those before it."""
        return self.ordering.turn_at(event, now)

    def queue_class(self, event):
        """Events of one destination for which this is equal are told the same until one is sent."""
        return event.stream_type, event.may_have_run_group if is_bound_to_group(event) else None

    def has_joinable_call(self, destination, now):
        """Whether a call of this turn takes others with it, though maybe not each event."""
        return any(endpoint.rate_limiter.has_joinable_call(now) for endpoint in destination.endpoints)

    def find_destination(self, number):
        """The destination of this number, or None while no list has named it."""
        return self.destinations.get(number)

    def next_in_order(self, ordering_key):
        """The event whose turn it is among those of an ordering key; None when none is pending."""
        return self.ordering.first(ordering_key)

    def excess_pending(self):
        """How many events are pending beyond the capacity."""
        return self.pending.excess()

    def has_separate_routes(self, destination):
        """Whether the endpoints of a destination have limits of their own."""
        return bool(destination.endpoints and destination.endpoints[0].has_separate_route)

    def all_slots_in_use(self):
        """Whether no call may be made until one ends."""
        return self.slots.are_all_in_use()

    def slots_are_scarce(self):
        """Whether events may wait for a slot that a call of any destination holds."""
        return self.slots.are_scarce()

    def is_over_capacity(self):
        """Whether more events are pending than the node means to hold."""
        return self.pending.is_exceeded()

    def decide(self, event, now):
        """Send, Later, Decline or Discard."""
        if (
            self.retry_rules.is_spent(event, now)
            or self.pending.is_exceeded()
            and self.pending.has_long_queue(event.destination)
            and self.is_safe_to_reject(event)
        ):
            return self._give_up(event, now)
        event.check_at, event.waits_for_outcome = self.give_up_at(event, now), False
        if (turn_at := self.ordering_turn_at(event, now)) > now:
            event.check_at, event.waits_for_outcome = min(event.check_at, turn_at), True
            return Defer()
        endpoint, moment, joins = self._select_endpoint(event, now)
        if endpoint is None:
            event.check_at, event.waits_for_outcome = min(event.check_at, moment), moment == math.inf
            return Defer()
        return self._send(event, endpoint, joins, now)

    def send_deadline(self, event, endpoint, now):
        """The moment by which the last byte of a send must have left; -inf when its first may not any more.
        Guards what `where` weighed against the time until a connection is up.
        """
        if (
            event.is_finished
            or not endpoint.is_ready
            or now < endpoint.rate_limiter.retry_after_until
            or not may_go_to(event, endpoint)
        ):
            return -math.inf
        last = self.give_up_at(event, now)
        return last if now < last else -math.inf

    def record_outcome(
        self, event, outcome, now, latency_ms, retry_after_ms=0.0, is_finished=False, load_report=None
    ):
        """What an outcome means for its event: None when it is over, else Later, Decline or Discard."""
        call, endpoint, event.call, event.endpoint = event.call, event.endpoint, None, None
        call.unresolved_count -= 1
        event.attempts -= outcome == SendOutcome.NOT_SENT
        if call.unresolved_count == 0:
            self.slots.release(endpoint)
            self.newly_idle[endpoint] = True
            if outcome in (SendOutcome.NOT_EXECUTED, SendOutcome.NOT_SENT) and not call.is_recorded:
                endpoint.rate_limiter.give_back_slot()  # nobody was called: its slot is the next one's
        if (
            retry_after_ms > 0 and outcome != SendOutcome.NOT_EXECUTED
        ):  # each event of a call may be told a wait of its own
            endpoint.rate_limiter.apply_retry_after(now + retry_after_ms + 1.0, self.random_uniform)
            if (
                outcome == SendOutcome.RATE_LIMITED
                and retry_after_ms > SHUT_AFTER_MS
                and not endpoint.is_down
            ):
                self._mark_down(endpoint, now, True)
        if outcome in (SendOutcome.FAILED, SendOutcome.TIMED_OUT, SendOutcome.RESET):
            endpoint.ejected_until_by_stream_type[event.stream_type] = now + STREAM_TYPE_EJECTION_MS
        elif outcome == SendOutcome.ACKED:
            endpoint.ejected_until_by_stream_type.pop(event.stream_type, None)
        if not call.is_recorded:
            call.is_recorded = outcome not in (
                SendOutcome.CANCELLED,
                SendOutcome.NOT_EXECUTED,
                SendOutcome.NOT_SENT,
            )  # nothing, of one that was not in it
            self._record_health(endpoint, outcome, now, latency_ms, load_report)
        if outcome not in (SendOutcome.ACKED, *NEVER_RAN):
            if event.may_have_run_at is None:
                event.may_have_run_at, event.may_have_run_group = event.sent_at, event.sent_group
            if event.ordering_key and outcome != SendOutcome.FAILED:
                self.ordering.rest(event.ordering_key, now)
        if is_finished or event.is_finished:
            self._release(event)
            return None
        event.check_at, event.waits_for_outcome = now, False
        return self._give_up(event, now) if self.retry_rules.is_spent(event, now) else Defer()

    def next_check(self, event, now):
        return NextCheck(max(now, event.check_at), event.waits_for_outcome)

    def endpoints_to_probe(self, now):
        """Sinks to probe now: failing ones with events waiting, at the pace of trials."""
        found = [
            s
            for s in self.down_endpoints
            if self._wants_probe(s)
            and s.rate_limiter.next_cold_slot_at <= now >= s.rate_limiter.retry_after_until
        ]
        for endpoint in found:
            endpoint.has_probe_in_flight, endpoint.rate_limiter.next_cold_slot_at = (
                True,
                now + self.recovery.pause_ms(endpoint, now),
            )
        return found

    def endpoints_to_disconnect(self, now):
        """Sinks whose idle connections to close now. Guards a connection table that those of many nodes fill:
        one that idles far longer than it is used is a place taken from others. Hurts where the next event
        comes sooner than the last.
        """
        idle, self.newly_idle = self.newly_idle, {}
        return [
            s
            for s in idle
            if not s.calls_in_flight
            and (now - s.table_full_at < FULL_TABLE_MS or self._is_mostly_idle(s, now))
        ]

    def _is_mostly_idle(self, endpoint, now):
        """Whether a connection there would idle most of the time. Not while events wait; where no end of that
        is told it may.
        """
        used = endpoint.rate_limiter.usual_rate.at(now) * max(
            endpoint.rate_limiter.recent_latency_ms.value, MIN_CONNECTION_USE_MS
        )
        return (
            self.settings.keepalive_ms < math.inf
            and not endpoint.destination.pending_count
            and used <= MIN_CONNECTION_USE
        )

    def _wants_probe(self, endpoint):
        # Only a sink that went silent: elsewhere an event that is tried loses nothing.
        return (
            self.settings.may_send_health_checks
            and endpoint.is_down
            and endpoint.is_silent
            and endpoint.is_ready
            and endpoint.destination.pending_count > 0
            and not (endpoint.has_passed_probe or endpoint.has_probe_in_flight or endpoint.calls_in_flight)
        )

    def record_probe(self, ident, outcome, now, latency, report=None):
        if endpoint := self.endpoints.get(ident):
            endpoint.has_probe_in_flight, endpoint.has_passed_probe = (
                False,
                endpoint.has_probe_in_flight and outcome == SendOutcome.ACKED,
            )

    def next_wakeup_at(self, now):
        trials = [
            max(s.rate_limiter.next_cold_slot_at, s.rate_limiter.retry_after_until)
            for s in self.down_endpoints
            if self._wants_probe(s)
        ]
        return min(m if m > now else math.inf for m in [self.list_polling.next_request_at, *trials])

    def _select_endpoint(self, event, now):
        """(sink, moment, joins a call): the sink to send to now, or None and when there may be one."""
        rows = []
        for endpoint in event.destination.endpoints:
            if not may_go_to(event, endpoint):
                continue
            if endpoint.rate_limiter.has_joinable_call_to(endpoint, now) and self.timeouts.may_share_call(
                event, endpoint, now
            ):
                return endpoint, now, True
            rows.append((endpoint, self._available_at(endpoint, now)))
        # Guards a stream type that one endpoint fails while it takes others: endpoints that did not are asked
        # first. Hurts where its failures are chance and the others have less room.
        rows = [
            row for row in rows if row[0].ejected_until_by_stream_type.get(event.stream_type, 0.0) <= now
        ] or rows
        if not event.destination.endpoints:
            return None, now + 200.0, False
        if not rows or self.slots.are_denied_to(event.destination):
            return None, math.inf, False
        if rows[0][0].has_separate_route:
            # All that wait here wait for the slot of a better route too: the queue's length says how long.
            def worth(row):
                queue = (
                    event.destination.pending_count / row[0].rate_limiter.rate
                    if row[1] > now and row[0].rate_limiter.rate
                    else 0.0
                )
                start = max(row[1], now) + queue
                return self.urgency.value_at(
                    event, start + row[0].rate_limiter.recent_latency_ms.value
                ) - row[0].carriage_cost, -start

            best = max(rows, key=worth)
            if best[1] > now:
                if best[1] < math.inf and best[1] > best[0].rate_limiter.retry_after_until:
                    best[0].rate_limiter.note_demand(now)
                return None, min(moment for _, moment in rows if moment > now), False
            return best[0], now, False
        ready, soonest = [s for s, moment in rows if moment <= now], min(moment for _, moment in rows)
        if not ready:
            if soonest < math.inf:
                event.destination.rate_limiter.note_demand(now)
            return None, soonest, False
        tried = min((s.consecutive_failures for s in ready if s.is_down), default=0)
        ready = [s for s in ready if not s.is_down or s.consecutive_failures == tried]
        # The first in rank has enough with its part of the calls that the key keeps busy.
        enough = max(
            1.0,
            (event.destination.rate_limiter.rate or ASSUMED_RATE_PER_MS)
            * event.destination.rate_limiter.recent_latency_ms.value
            / len(event.destination.endpoints),
        )
        return (
            next((s for s in ready if s.calls_in_flight < enough), None)
            or min(ready, key=lambda s: s.calls_in_flight),
            now,
            False,
        )

    def _available_at(self, endpoint, now):
        """When this sink may get a call: inf means after some outcome."""
        key = endpoint.rate_limiter
        if endpoint.is_down:
            if (
                endpoint.calls_in_flight
                or endpoint.has_probe_in_flight
                or (
                    self.settings.may_send_health_checks
                    and endpoint.is_silent
                    and not endpoint.has_passed_probe
                )
            ):
                return math.inf
            return max(
                now
                if endpoint.has_passed_probe or not endpoint.consecutive_failures
                else key.next_cold_slot_at,
                key.ready_at(),
            )
        if endpoint.calls_in_flight and now - endpoint.last_outcome_at > key.silence_threshold_ms() * (
            1 if endpoint.calls_in_flight > 1 else 2
        ):
            # Bookings never learn when calls end: a silent sink would take slot after slot.
            return math.inf
        cold = now - endpoint.warming_since < self.recovery.warm_up_ms
        return max(key.ready_at(), endpoint.retry_at, key.next_cold_slot_at if cold else now)

    def _send(self, event, endpoint, joins, now):
        key = endpoint.rate_limiter
        if joins:
            call, cost = key.join_shared_call(), SHARED_EVENT_COST
        else:
            call, cost = Call(endpoint), CALL_COST
            alone = endpoint.is_down or not self.timeouts.may_share_call(event, endpoint, now)
            key.offer_shared_call(call, now, 0 if alone else endpoint.batch_size - 1)
            self.slots.acquire(endpoint, now)
        key.book(now, cost)
        self.recovery.book(endpoint, cost, now)
        call.unresolved_count += 1
        event.call, event.endpoint, event.sent_at, event.attempts = call, endpoint, now, event.attempts + 1
        event.sent_group = deduplication_group(event, endpoint)
        return Send(endpoint, self.timeouts.timeout_ms(event, endpoint, now))

    def _record_health(self, endpoint, outcome, now, latency, report):
        key = endpoint.rate_limiter
        if report:
            key.apply_load_report(report)
        if outcome in (SendOutcome.CANCELLED, SendOutcome.NOT_EXECUTED, SendOutcome.NOT_SENT):
            return
        endpoint.last_outcome_at = now
        if (
            outcome == SendOutcome.CONNECTION_LIMIT
        ):  # neither its limit nor its health: it answered that its table is full
            endpoint.table_full_at, endpoint.retry_at = (
                now,
                now + MIN_TRIAL_PAUSE_MS * self.random_uniform(0.5, 1.5),
            )
            return
        if outcome == SendOutcome.ACKED:
            endpoint.acked_at, endpoint.consecutive_failures, endpoint.failure_ratio = (
                now,
                0,
                endpoint.failure_ratio * (1 - SMOOTHING_WEIGHT),
            )
            if endpoint.is_down:
                # It came back some time since the last failure: in the mean over all nodes, half way.
                began = max(endpoint.failed_at, key.outage_began_at, key.retry_after_until)
                endpoint.is_down, endpoint.is_silent, endpoint.warming_since = False, False, (began + now) / 2
                self.down_endpoints.pop(endpoint, None)
                endpoint.failure_ratio = min(endpoint.failure_ratio, MAX_FAILURE_RATIO / 2)
                # The next call waits as it warms, no more as a trial.
                key.next_cold_slot_at = min(
                    key.next_cold_slot_at, now + self.recovery.pause_ms(endpoint, now)
                )
            key.record_ack(now, latency, self._slow_everywhere)
            return
        if outcome == SendOutcome.RATE_LIMITED and not endpoint.is_down:
            key.reduce_rate(now, True)
        elif outcome != SendOutcome.RATE_LIMITED:
            # A connect that fails at once, maybe while others are answered, can be a full connection table.
            if outcome == SendOutcome.UNREACHABLE and latency < self.prompt_connect_ms:
                endpoint.table_full_at = now
                if endpoint.calls_in_flight and now - endpoint.acked_at < 1000.0:
                    return
            key.consecutive_failures, endpoint.failure_ratio = (
                key.consecutive_failures + 1,
                endpoint.failure_ratio + SMOOTHING_WEIGHT * (1 - endpoint.failure_ratio),
            )
        endpoint.consecutive_failures, endpoint.failing_since, endpoint.failed_at = (
            endpoint.consecutive_failures + 1,
            endpoint.failing_since if endpoint.consecutive_failures else now,
            now,
        )
        endpoint.is_silent, endpoint.has_passed_probe = outcome == SendOutcome.TIMED_OUT, False
        if endpoint.is_down:
            return
        if (
            endpoint.failure_ratio > MAX_FAILURE_RATIO
            or endpoint.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            and outcome != SendOutcome.RATE_LIMITED
            or endpoint.consecutive_failures > MAX_CONSECUTIVE_REJECTIONS
            and outcome == SendOutcome.RATE_LIMITED
            and now - endpoint.failing_since > SHUT_AFTER_MS
            or (
                outcome == SendOutcome.TIMED_OUT
                or outcome == SendOutcome.UNREACHABLE
                and latency >= self.prompt_connect_ms
                or key.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                and outcome in (SendOutcome.UNREACHABLE, SendOutcome.FAILED)
            )
            and now - max(endpoint.acked_at, endpoint.warming_since + self.recovery.warm_up_ms)
            > LONE_FAILURE_MS
        ):
            # The last: a node of little traffic may see one call fail in all of an outage, and counts.
            self._mark_down(endpoint, now, outcome == SendOutcome.RATE_LIMITED)
        elif key.consecutive_failures >= MAX_CONSECUTIVE_FAILURES and outcome != SendOutcome.RATE_LIMITED:
            key.reduce_rate(now, False)

    def _mark_down(self, endpoint, now, shut):
        """Guards against an outage of the whole destination of which this node sees little: endpoints beside
        it that long acked nothing get one trial, none when shut. Hurts where one endpoint alone is out.
        """
        if not self.endpoint_list.is_current(endpoint):
            return  # its call outlasted it: another is listed under its id, or none
        key = endpoint.rate_limiter
        beside = [s for s in endpoint.destination.endpoints if s.rate_limiter is key and s is not endpoint]
        if not any(
            s.is_down or now - s.warming_since < self.recovery.warm_up_ms for s in [endpoint, *beside]
        ):
            # It may have begun any time since the last ack, and it does not lessen the usual part.
            key.begin_outage(
                max(now - self.recovery.warm_up_ms, *(s.acked_at for s in [endpoint, *beside])),
                endpoint.failing_since if endpoint.consecutive_failures else now,
            )
        for other in beside:
            if shut or other.acked_at < now - self.recovery.warm_up_ms / 2:
                other.is_down = self.down_endpoints[other] = True
                other.consecutive_failures = max(other.consecutive_failures, int(shut))
        endpoint.is_down = self.down_endpoints[endpoint] = True
        pause = self.recovery.pause_ms(endpoint, now) * self.random_uniform(0.0, 1.0)
        key.next_cold_slot_at = max(now, key.retry_after_until) + max(MIN_TRIAL_PAUSE_MS, pause)

    def _slow_everywhere(self):
        known = [key for key in self.endpoint_list.rate_limiters() if key.lowest_latency_ms is not None]
        return len(known) > 2 and sum(key.latency_has_risen() for key in known) * 2 > len(known)

    def give_up_at(self, event, now):
        """When it is given up at the latest."""
        return self.retry_rules.give_up_at(event)

    def is_safe_to_reject(self, event):
        """Whether handing it back can do no harm."""
        return is_safe_to_reject(event)

    def _give_up(self, event, now):
        self._release(event)
        return (
            Reject(self.retry_after_ms(event.destination, now))
            if self.is_safe_to_reject(event)
            else Abandon()
        )

    def retry_after_ms(self, destination, now):
        """Ms after which a client had best retry for a destination (None: unknown); 0: no advice."""
        return self.pending.retry_after_ms(destination, now)

    def queue_drain_time_ms(self, destination, now):
        """Ms until all events pending for a destination could be sent, at the present rates."""
        return queue_drain_time_ms(destination, now)

    def _release(self, event):
        self.pending.release(event)
        self.ordering.remove(event)
