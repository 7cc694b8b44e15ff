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
from swiftthread.routing.health import HealthTracker
from swiftthread.routing.health_checks import HealthChecks
from swiftthread.routing.idle_connections import IdleConnections
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.list_polling import ListPolling
from swiftthread.routing.messages import (
    NEVER_RAN,
    UNRELATED_TO_HEALTH,
    Abandon,
    Defer,
    NextCheck,
    Reject,
    Send,
    SendOutcome,
)
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
        self.health = HealthTracker(settings, self.endpoint_list, self.recovery, self.jitter)
        self.health_checks = HealthChecks(settings, self.health, self.recovery)
        self.idle_connections = IdleConnections(settings)

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
            self.health.forget(endpoint)

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
            self.idle_connections.note_call_ended(endpoint)
            if outcome in (SendOutcome.NOT_EXECUTED, SendOutcome.NOT_SENT) and not call.is_recorded:
                endpoint.rate_limiter.give_back_slot()  # nobody was called: its slot is the next one's
        if (
            retry_after_ms > 0 and outcome != SendOutcome.NOT_EXECUTED
        ):  # each event of a call may be told a wait of its own
            endpoint.rate_limiter.apply_retry_after(now + retry_after_ms + 1.0, self.random_uniform)
            self.health.record_retry_after(endpoint, outcome, now, retry_after_ms)
        self.health.record_stream_type(endpoint, event.stream_type, outcome, now)
        if not call.is_recorded:
            call.is_recorded = outcome not in UNRELATED_TO_HEALTH
            self.health.record_call(endpoint, outcome, now, latency_ms, load_report)
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
        """Endpoints to send a health check to now: silent ones with events waiting, at the pace of trials."""
        return self.health_checks.start_due(now)

    def endpoints_to_disconnect(self, now):
        """Endpoints whose idle connections to close now."""
        return self.idle_connections.take_disconnectable(now)

    def record_probe(self, ident, outcome, now, latency, report=None):
        """What a health check tells of its endpoint."""
        if endpoint := self.endpoints.get(ident):
            self.health_checks.record(endpoint, outcome)

    def next_wakeup_at(self, now):
        """When a list request or a health check is due next."""
        request_at = self.list_polling.next_request_at
        return min(request_at if request_at > now else math.inf, self.health_checks.next_at(now))

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
