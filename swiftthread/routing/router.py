"""Makes all routing decisions of one delivery node, which sees only its own traffic."""
# A caller builds one `Router`, adds events (`add_event`) and reports what it observes (`apply_endpoint_list`,
# `record_list_request_failure`, `withdraw`, `record_health_check`). It sorts the events that are due for a
# decision (`sort_by_urgency`) and makes three calls for each of them: `decide` (returns a `Send`, `Defer`,
# `Reject` or `Abandon`), `record_outcome` (what the outcome of an attempt means for the event) and
# `next_check` (when to decide again after a `Defer`). `endpoints_due_for_health_check`,
# `endpoints_to_disconnect`, `start_due_list_request` and `next_wakeup_at` are called once per scheduling
# cycle. All times and durations are in milliseconds on the caller's clock. The design is described in
# docs/design.md.

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Iterable

from swiftthread.routing import retry_rules
from swiftthread.routing.admission import PendingCapacity, TenantQuotas, queue_drain_time_ms
from swiftthread.routing.call_slots import CallSlots
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.endpoint_list import EndpointList
from swiftthread.routing.events import Call, Destination, Event, GroupId
from swiftthread.routing.health import HealthTracker
from swiftthread.routing.health_checks import HealthChecks
from swiftthread.routing.idle_connections import IdleConnections
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.list_confirmation import RECHECK_INTERVAL_MS, ListConfirmation
from swiftthread.routing.list_polling import ListPolling
from swiftthread.routing.messages import (
    MAY_HAVE_RUN,
    UNRELATED_TO_HEALTH,
    Abandon,
    Defer,
    EndpointEntry,
    LoadReport,
    NextCheck,
    Reject,
    Send,
    SendOutcome,
)
from swiftthread.routing.observer import CallState, NullObserver, RoutingObserver
from swiftthread.routing.ordering import OrderingQueues
from swiftthread.routing.rate_limiter import CALL_COST, SHARED_EVENT_COST
from swiftthread.routing.recovery import RecoveryPacing
from swiftthread.routing.retry_rules import RetryRules
from swiftthread.routing.selection import EndpointSelector, NoneAvailable
from swiftthread.routing.settings import Settings, StreamType
from swiftthread.routing.timeouts import AttemptTimeouts
from swiftthread.routing.urgency import UrgencyRanking

# Added to each Retry-After, so that rounding does not make a call at its end arrive too early.
RETRY_AFTER_MARGIN_MS = 1.0

QueueKey = tuple[StreamType, GroupId | None, bool]
"""Stream type, deduplication group to which the event is bound, whether it waits for a confirmed list."""


class Router:
    """Makes the decisions of one delivery node; owns the decision modules and calls them in sequence."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        observer: RoutingObserver | None = None,
        reuses_connections: bool = True,
    ) -> None:
        # Build a router. The seed is that of the generator for all random draws. The observer is notified of
        # state changes of endpoints; None stands for no notifications. `reuses_connections` says whether a
        # connection of the caller may be idle after a call.
        self.stream_types: list[StreamType] = list(settings.stream_types)
        self.jitter = Jitter(seed)
        self.recovery = RecoveryPacing(settings, self.jitter)
        self.endpoint_list = EndpointList(settings, self.recovery)
        self.list_polling = ListPolling(settings, self.jitter)
        self.list_confirmation = ListConfirmation(settings.max_calls_in_flight)
        self.quotas = TenantQuotas(settings)
        self.pending = PendingCapacity(settings, self.endpoint_list.destinations)
        self.ordering = OrderingQueues(settings.ordering_pause_ms)
        self.urgency = UrgencyRanking(settings)
        self.retry_rules = RetryRules(settings)
        self.timeouts = AttemptTimeouts(settings, self.recovery)
        self.slots = CallSlots(settings.max_calls_in_flight)
        self.observer: RoutingObserver = observer or NullObserver()
        self.health = HealthTracker(settings, self.endpoint_list, self.recovery, self.jitter, self.observer)
        self.health_checks = HealthChecks(settings, self.health, self.recovery)
        self.idle_connections = IdleConnections(settings)
        self.reuses_connections = reuses_connections
        self.selector = EndpointSelector(
            self.slots, self.recovery, self.health_checks, self.timeouts, self.urgency
        )

    @property
    def random_uniform(self) -> Callable[[float, float], float]:
        """The source of all random draws of this router."""
        return self.jitter.uniform

    @random_uniform.setter
    def random_uniform(self, uniform: Callable[[float, float], float]) -> None:
        self.jitter.uniform = uniform

    @property
    def calls_in_flight(self) -> int:
        """The number of calls in flight."""
        return self.slots.in_flight

    @property
    def pending_count(self) -> int:
        """The number of pending events."""
        return self.pending.pending_count

    @property
    def endpoints(self) -> dict[str | int, Endpoint]:
        """The known endpoints, by id."""
        return self.endpoint_list.endpoints

    @property
    def destinations(self) -> dict[int, Destination]:
        """The known destinations, by number."""
        return self.endpoint_list.destinations

    # Endpoint lists.

    @property
    def is_list_confirmed(self) -> bool:
        """Whether discovery has sent or confirmed the endpoint list in use."""
        return self.list_confirmation.is_confirmed

    def apply_cached_endpoint_list(self, entries: Iterable[EndpointEntry], now: float) -> None:
        """Apply the complete list of an earlier process, to be used until discovery sends or confirms one."""
        self._apply_endpoint_list(entries, True, now)
        self.list_confirmation.start_with_cached_list(now)

    def apply_endpoint_list(self, entries: Iterable[EndpointEntry], is_complete: bool, now: float) -> None:
        """Apply an endpoint list from discovery; one that is not complete contains only what changed."""
        # A list without entries that is not complete confirms the list in use.
        self.list_polling.record_list_received()
        self._apply_endpoint_list(entries, is_complete, now)
        self.list_confirmation.confirm()

    def _apply_endpoint_list(self, entries: Iterable[EndpointEntry], is_complete: bool, now: float) -> None:
        for endpoint in self.endpoint_list.apply(entries, is_complete, now):
            self.health.remove_endpoint(endpoint)

    def record_list_request(self, now: float) -> None:
        """Record that the endpoint list is requested."""
        self.list_polling.record_request(now)

    def record_list_request_failure(self, now: float) -> float:
        """Record that a request for the endpoint list failed, and return when to make the next request."""
        return self.list_polling.record_failure(now)

    def start_due_list_request(self, now: float) -> bool:
        """Return whether to request the endpoint list now: true once, then false until a request fails."""
        return self.list_polling.start_due_request(now)

    def find_destination(self, number: int) -> Destination | None:
        """Return the destination with this number, or None if it is not known."""
        return self.destinations.get(number)

    def has_separate_routes(self, destination: Destination) -> bool:
        """Return whether each endpoint of a destination is a route with a separate rate limit."""
        return bool(destination.endpoints and destination.endpoints[0].has_separate_route)

    def has_joinable_call(self, destination: Destination, now: float) -> bool:
        """Return whether a call of this scheduling cycle has positions left for further events."""
        # The call may still be closed to some of them (see `AttemptTimeouts.may_share_call`).
        return any(endpoint.rate_limiter.has_joinable_call(now) for endpoint in destination.endpoints)

    # Pending events: admission, urgency and ordering keys.

    def add_event(
        self,
        now: float,
        stream_type_number: int,
        destination_number: int,
        time_left_ms: float,
        tenant: int | None = None,
        ordering_key: Hashable = 0,
        size_bytes: int = 0,
    ) -> Event:
        """Add a pending event."""
        # The event is returned, and the caller passes it to the other methods. `stream_type_number` is the
        # index of the event's stream type in the settings, and `destination_number` is the number of its
        # destination in the endpoint list. `time_left_ms` is the time until the event reaches its max age.
        # `tenant` is the index of its tenant in the quotas of the settings; None stands for no known tenant.
        # `size_bytes` is what it takes in the body of a call of several events.
        # `ordering_key` is used only if the stream type of the event is ordered; 0 or "" stands for none.
        stream_type = self.stream_types[stream_type_number]
        destination = self.endpoint_list.get_or_add_destination(destination_number)
        expires_at = now + time_left_ms
        event = Event(
            stream_type=stream_type,
            destination=destination,
            ordering_key=ordering_key if stream_type.is_ordered else 0,
            priority_weight=self.quotas.weight(stream_type, tenant, now),
            latency_objective_at=expires_at - stream_type.max_age_ms + stream_type.latency_objective_ms,
            expires_at=expires_at,
            next_check_at=now,
            size_bytes=size_bytes,
        )
        self.pending.add(destination)
        if event.ordering_key:
            self.ordering.add(event, now)
        return event

    def withdraw(self, event: Event, now: float) -> None:
        """Remove a pending event; the outcome of an attempt in flight must still be recorded."""
        self._release(event)

    def sort_by_urgency(self, events: Iterable[Event], now: float) -> list[Event]:
        """Return the events in the order in which to decide them, the most urgent first."""
        return self.urgency.sort(events, now)

    def ranking_horizon_ms(self, destination: Destination, now: float) -> float:
        """Return how long a destination's whole queue takes, in ms; events rank by the cost of that wait."""
        return self.urgency.horizon_ms(destination, now)

    def urgency_rank(self, event: Event, horizon_ms: float, now: float) -> tuple[float, float]:
        """Return the sort key of an event: events with a lower key are decided first."""
        return self.urgency.rank(event, horizon_ms, now)

    def ordering_ready_at(self, event: Event, now: float) -> float:
        """Return when an event may be sent as far as its ordering key permits."""
        # The result is `now`, a later time, or inf while another event of the key must finish first.
        return self.ordering.may_send_at(event, now)

    def first_pending_of_key(self, ordering_key: Hashable) -> Event | None:
        """Return the first pending event of an ordering key; None if it has none."""
        return self.ordering.first(ordering_key)

    def queue_key(self, event: Event, now: float) -> QueueKey:
        """Return a key: events of a destination with equal keys get the same decision until one is sent."""
        group = event.may_have_run_group if retry_rules.is_bound_to_group(event) else None
        return event.stream_type, group, self._held_until(event, now) > now

    def excess_pending(self) -> int:
        """Return how many pending events exceed the capacity."""
        return self.pending.excess()

    def is_over_capacity(self) -> bool:
        """Return whether more events are pending than the node has capacity for."""
        return self.pending.is_exceeded()

    def all_slots_in_use(self) -> bool:
        """Return whether no call may be made until one of those in flight finishes."""
        return self.slots.are_all_in_use()

    def slots_are_scarce(self) -> bool:
        """Return whether events may have to wait for a slot used by a call to any destination."""
        return self.slots.are_scarce()

    def retry_after_ms(self, destination: Destination | None, now: float) -> float:
        """Return the Retry-After in ms for events of a destination (None if unknown); 0 for no advice."""
        return self.pending.retry_after_ms(destination, now)

    def queue_drain_time_ms(self, destination: Destination, now: float) -> float:
        """Return the time in ms in which all pending events of a destination can be sent at current rates."""
        return queue_drain_time_ms(destination, now)

    def give_up_at(self, event: Event, now: float) -> float:
        """Return when the event is given up at the latest."""
        return self.retry_rules.give_up_at(event)

    def deadline(self, event: Event, now: float) -> float:
        """Return when a waiting event is to be decided at the latest."""
        # Events that wait for a confirmed list end their wait at different times, whatever their queue. A
        # queue that grows ends a wait earlier, one that shrinks can begin it again.
        give_up_at = self.retry_rules.give_up_at(event)
        if self.is_list_confirmed:
            return give_up_at
        held_until = self._held_until(event, now)
        wait_ends_at = held_until if held_until > now else math.inf
        return min(give_up_at, wait_ends_at, now + RECHECK_INTERVAL_MS)

    def is_safe_to_reject(self, event: Event) -> bool:
        """Return whether a client may resubmit the event without the risk of a second effect."""
        return retry_rules.is_safe_to_reject(event)

    # Decisions and outcomes.

    def decide(self, event: Event, now: float) -> Send | Defer | Reject | Abandon:
        """Decide what to do with an event now; a `Send` counts as an attempt in flight."""
        if self.retry_rules.is_exhausted(event, now) or self._must_shed(event):
            return self._give_up(event, now)
        give_up_at = self.retry_rules.give_up_at(event)
        may_send_at = self.ordering.may_send_at(event, now)
        if may_send_at > now:
            return self._defer(event, min(give_up_at, may_send_at), waits_for_outcome=True)
        held_until = self._held_until(event, now)
        if held_until > now:
            return self._defer(event, held_until, waits_for_outcome=True)
        selection = self.selector.select(event, now)
        if isinstance(selection, NoneAvailable):
            return self._defer(
                event,
                min(give_up_at, selection.next_available_at),
                waits_for_outcome=selection.next_available_at == math.inf,
            )
        event.next_check_at = give_up_at
        event.waits_for_outcome = False
        return self._send(event, selection.endpoint, selection.joins_call, now)

    def next_check(self, event: Event, now: float) -> NextCheck:
        """Return when to decide a deferred event again."""
        return NextCheck(max(now, event.next_check_at), event.waits_for_outcome)

    def send_deadline(self, event: Event, endpoint: Endpoint, now: float) -> float:
        """Return the time by which the last byte of a request must be sent; -inf if it must not start."""
        # This repeats checks of `decide`, because their results may change while a connection is established.
        if (
            event.is_finished
            or not endpoint.is_ready
            or now < endpoint.rate_limiter.retry_after_until
            or not retry_rules.may_be_sent_to(event, endpoint)
        ):
            return -math.inf
        give_up_at = self.retry_rules.give_up_at(event)
        return give_up_at if now < give_up_at else -math.inf

    def record_outcome(
        self,
        event: Event,
        outcome: SendOutcome,
        now: float,
        latency_ms: float,
        retry_after_ms: float = 0.0,
        is_event_finished: bool = False,
        load_report: LoadReport | None = None,
    ) -> Defer | Reject | Abandon | None:
        """Record the outcome of an attempt, and return what it means for the event.

        Returns:
            The decision on the event; None if the event is finished.
        """
        # The event has an attempt in flight. `latency_ms` is the time from the start of the attempt to its
        # outcome. `retry_after_ms` is the Retry-After that the endpoint's response named; it is 0 if the
        # response named none. `is_event_finished` says whether the event is finished with this outcome.
        # `load_report` is the load report of the endpoint's response; it is None if the response had none.
        call, endpoint = event.call, event.endpoint
        assert call is not None and endpoint is not None  # an attempt is in flight
        event.call = None
        event.endpoint = None
        if outcome == SendOutcome.NOT_SENT:
            event.attempts -= 1
        self._resolve_in_call(call, outcome)
        if retry_after_ms > 0 and outcome != SendOutcome.NOT_EXECUTED:
            # The response to a call may name a separate Retry-After for each of its events.
            retry_after_until = now + retry_after_ms + RETRY_AFTER_MARGIN_MS
            endpoint.rate_limiter.apply_retry_after(retry_after_until, self.jitter.uniform)
            self.health.record_retry_after(endpoint, outcome, now, retry_after_ms)
        self.health.record_stream_type_outcome(endpoint, event.stream_type, outcome, now)
        if not call.is_recorded:
            call.is_recorded = outcome not in UNRELATED_TO_HEALTH
            self.health.record_call(endpoint, outcome, now, latency_ms, load_report)
        if outcome in MAY_HAVE_RUN:
            self._record_possible_run(event, outcome, now)
        if is_event_finished or event.is_finished:
            self._release(event)
            return None
        event.next_check_at = now
        event.waits_for_outcome = False
        return self._give_up(event, now) if self.retry_rules.is_exhausted(event, now) else Defer()

    # Called once per scheduling cycle.

    def endpoints_due_for_health_check(self, now: float) -> list[Endpoint]:
        """Return the endpoints to send a health check to now, each of which counts as being checked."""
        # The endpoints are unresponsive, have pending events, and are checked at the pace of trials.
        due = self.health_checks.start_due_checks(now)
        for _ in due:
            self.observer.call_started(CallState.HEALTH_CHECK)
        return due

    def record_health_check(
        self,
        endpoint_id: str | int,
        outcome: SendOutcome,
        now: float,
        latency_ms: float,
        load_report: LoadReport | None = None,
    ) -> None:
        """Record the outcome of a health check; its latency and load report are not used."""
        if endpoint := self.endpoints.get(endpoint_id):
            self.health_checks.record_outcome(endpoint, outcome)

    def endpoints_to_disconnect(self, now: float) -> list[Endpoint]:
        """Return the endpoints whose idle connections to close now."""
        return self.idle_connections.take_endpoints_to_disconnect(now)

    def next_wakeup_at(self, now: float) -> float:
        """Return the next time after `now` at which a list request or a health check is due."""
        request_at = self.list_polling.next_request_at
        return min(request_at if request_at > now else math.inf, self.health_checks.next_at(now))

    def _held_until(self, event: Event, now: float) -> float:
        # Return until when an event waits for a confirmed endpoint list; -inf if it does not wait.
        if self.is_list_confirmed:
            return -math.inf
        # The later events of its ordering key cannot be sent before it.
        events = (event, *self.ordering.pending_events(event.ordering_key))
        give_up_at = min(map(self.retry_rules.give_up_at, events))
        return self.list_confirmation.held_until(event, give_up_at, self.pending_count, now)

    def _must_shed(self, event: Event) -> bool:
        # Return whether to reject an event because the node is over capacity.
        #
        # Only events of destinations with more pending events than the average destination are rejected, and
        # only if that is safe.
        return (
            self.pending.is_exceeded()
            and self.pending.has_long_queue(event.destination)
            and retry_rules.is_safe_to_reject(event)
        )

    @staticmethod
    def _defer(event: Event, next_check_at: float, waits_for_outcome: bool) -> Defer:
        event.next_check_at = next_check_at
        event.waits_for_outcome = waits_for_outcome
        return Defer()

    def _send(self, event: Event, endpoint: Endpoint, joins_call: bool, now: float) -> Send:
        limiter = endpoint.rate_limiter
        if joins_call:
            call, cost = limiter.join_shared_call(event.size_bytes), SHARED_EVENT_COST
        else:
            call, cost = self._start_call(event, endpoint, now), CALL_COST
        limiter.reserve(now, cost)
        self.recovery.reserve(endpoint, cost, now)
        call.unresolved_count += 1
        event.call = call
        event.endpoint = endpoint
        event.sent_at = now
        event.sent_group = retry_rules.deduplication_group(event, endpoint)
        event.attempts += 1
        return Send(endpoint, self.timeouts.timeout_ms(event, endpoint, now))

    def _start_call(self, event: Event, endpoint: Endpoint, now: float) -> Call:
        self.observer.call_started(self._call_state(endpoint, now))
        call = Call(endpoint)
        is_exclusive = endpoint.is_down or not self.timeouts.may_share_call(event, endpoint, now)
        positions_left = 0 if is_exclusive else endpoint.batch_size - 1
        endpoint.rate_limiter.offer_shared_call(call, now, positions_left, event.size_bytes)
        self.slots.acquire(endpoint, now)
        return call

    def _call_state(self, endpoint: Endpoint, now: float) -> CallState:
        if endpoint.is_down:
            return CallState.TRIAL
        if self.recovery.is_warming_up(endpoint, now):
            return CallState.WARM_UP
        return CallState.UNACKED if endpoint.unacked_outcomes else CallState.NORMAL

    def _resolve_in_call(self, call: Call, outcome: SendOutcome) -> None:
        # Resolve one event of a call; the call finishes with the last of its events.
        call.unresolved_count -= 1
        if call.unresolved_count:
            return
        self.slots.release(call.endpoint)
        if self.reuses_connections:
            self.idle_connections.record_call_ended(call.endpoint)
        if outcome in (SendOutcome.NOT_EXECUTED, SendOutcome.NOT_SENT) and not call.is_recorded:
            call.endpoint.rate_limiter.release_slot()  # nothing was executed: the next call may use the slot

    def _record_possible_run(self, event: Event, outcome: SendOutcome, now: float) -> None:
        # Record that an attempt may have had an effect, or may still run.
        if event.may_have_run_at is None:
            event.may_have_run_at = event.sent_at
            event.may_have_run_group = event.sent_group
        if event.ordering_key and outcome != SendOutcome.FAILED:
            self.ordering.pause(event.ordering_key, now)

    def _give_up(self, event: Event, now: float) -> Reject | Abandon:
        self._release(event)
        if retry_rules.is_safe_to_reject(event):
            return Reject(self.pending.retry_after_ms(event.destination, now))
        return Abandon()

    def _release(self, event: Event) -> None:
        self.pending.release(event)
        self.ordering.remove(event)
