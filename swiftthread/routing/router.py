"""Every decision of swiftthread, for one delivery node that sees only its own traffic.

A caller builds one `Router`, hands in events (`add_event`) and what it learns (`apply_endpoint_list`,
`list_request_failed`, `withdraw`, `record_probe`), puts the events that may be decided in order
(`sort_by_urgency`), and makes three calls: `decide` (a `Send`, `Defer`, `Reject` or `Abandon`),
`record_outcome` (what an outcome means for the event) and `next_check` (when to decide again after a
`Defer`). `endpoints_to_probe`, `endpoints_to_disconnect`, `should_request_list` and `next_wakeup_at` are
for once a turn. The design, what was kept and changed: docs/design.md.
"""

import math
from collections import deque

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Call, Destination, Event
from swiftthread.routing.jitter import Jitter
from swiftthread.routing.messages import NEVER_RAN, Abandon, Defer, NextCheck, Reject, Send, SendOutcome
from swiftthread.routing.rate_limiter import (
    ASSUMED_RATE_PER_MS,
    CALL_COST,
    MIN_RATE_PER_MS,
    SHARED_EVENT_COST,
    FleetSharing,
    RateLimiter,
)
from swiftthread.routing.settings import Effect, Settings

LONE_FAILURE_MS = 1000.0  # ms without an ack after which one unanswered or unreached call tells of an outage
MAX_CONSECUTIVE_FAILURES = 3  # calls failing in a row, none between: an error run; two can be chance
MAX_FAILURE_RATIO = 0.6  # share of failed calls, smoothed, from which a sink counts as failing
SMOOTHING_WEIGHT = 0.15  # weight of the newest call in that share; about the last dozen calls
MIN_TRIAL_PAUSE_MS = 300.0  # ms: least pause before a failing sink is tried; a few round trips
BASE_TIMEOUT_MS, TIMEOUT_LATENCIES, MAX_TIMEOUT_MS = (
    1200.0,
    8.0,
    6000.0,
)  # ms + x usual latency, at most; a long tail's p99
TIMEOUT_SHARE = 0.6  # of the repeat window or the rest of the max age, so that another send fits inside
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
SCARCE_SLOTS_SHARE = 0.7  # of the slots: from here no destination may take more than half of those out
AGENT_BACKOFF_MS = 200.0  # ms, mean, before a list is asked for again of a local agent
DISCOVERY_BACKOFF_MS = 1000.0  # the same of a discovery that all nodes share; doubled by each failure
BACKOFF_SPREAD = 0.5  # of that pause, either way: nodes that lost their lists together must not ask together
CAPACITY_SHARE = 0.92  # of the holding room: from here the longest queues are declined
MIN_ANSWER_MARGIN_MS = 12.0  # ms before a bound at which the event is answered; two turns of the caller


class Router:
    """The decisions of one delivery node."""

    def __init__(self, settings: Settings, seed: int):
        self.settings = settings
        self.jitter = Jitter(seed)
        self.stream_types, self.node_count, self.node_position = (
            list(settings.stream_types),
            max(1, settings.node_count),
            settings.node_position,
        )
        self.max_calls_in_flight, self.capacity, self.max_attempts = (
            settings.max_calls_in_flight,
            settings.max_pending_events * CAPACITY_SHARE,
            settings.max_attempts,
        )
        utility = sum(s.priority_weight for s in self.stream_types)
        self.sharing = FleetSharing.from_settings(settings)
        self.carriage_costs = [
            fee * utility / max(1, len(self.stream_types)) for fee in settings.carriage_cost_by_zone
        ]  # utility units
        self.has_rates = settings.listed_rates in ("nominal", "rough")
        self.quotas = [
            [1000.0 * self.node_count / q if q else 0.0, 0.0] for q in settings.quotas
        ]  # [interval, due]
        self.max_retry_after_ms = settings.max_retry_after_ms if settings.may_send_retry_after else 0.0
        self.next_list_request_at = 0.0 if settings.polls_discovery else math.inf
        first = DISCOVERY_BACKOFF_MS if settings.polls_discovery else AGENT_BACKOFF_MS
        # Asked within this time, a node does not count as told of what it has not heard.
        most = settings.poll_within_ms / (1 + BACKOFF_SPREAD) if settings.polls_discovery else 0.0
        self.list_backoff_ms, self.list_backoff_bounds_ms = first, (first, max(first, most))
        self.warm_up_ms, self.answer_margin_ms = (
            max(1.0, settings.warm_up_ms),
            max(MIN_ANSWER_MARGIN_MS, 2 * settings.tick_ms),
        )
        # By number, as the list names them; endpoints leave when long gone.
        self.destinations: dict = {}
        self.endpoints: dict = {}
        # Ordering key -> [events in order taken, rest until]; emptied when they are finished and rested.
        self.ordering_queues: dict = {}
        # Endpoints that are down, in the order they went; emptied by an ack or the list.
        self.down_endpoints: dict = {}
        self.newly_idle: dict = {}  # endpoints whose last call out has ended; emptied each turn
        self.prompt_connect_ms, self.calls_in_flight, self.pending_count = (
            PROMPT_CONNECT_SHARE * settings.connect_timeout_ms,
            0,
            0,
        )

    @property
    def random_uniform(self):
        """The source of all random draws of this router."""
        return self.jitter.uniform

    @random_uniform.setter
    def random_uniform(self, uniform):
        self.jitter.uniform = uniform

    def add_event(self, now, stream_type_number, destination_number, left, tenant=None, subject=0):
        """Hold an event. `tenant`: its place among the quotas; None is none of them."""
        stream_type, destination = (
            self.stream_types[stream_type_number],
            self.destinations.setdefault(destination_number, Destination(destination_number)),
        )
        expires_at = now + left
        event = Event(
            stream_type=stream_type,
            destination=destination,
            ordering_key=subject if stream_type.is_ordered else 0,
            priority_weight=self._weight_in_quota(stream_type, tenant, now),
            latency_objective_at=expires_at - stream_type.max_age_ms + stream_type.latency_objective_ms,
            expires_at=expires_at,
            check_at=now,
        )
        destination.pending_count += 1
        self.pending_count += 1
        if event.ordering_key:
            for old in [s for s, (line, rest) in self.ordering_queues.items() if not line and rest <= now]:
                del self.ordering_queues[old]
            self.ordering_queues.setdefault(event.ordering_key, [deque(), -math.inf])[0].append(event)
        return event

    def _weight_in_quota(self, stream_type, tenant, now):
        if not self.quotas:
            return stream_type.priority_weight
        # Who is no tenant has no share, least of all another's: all of it is beyond one.
        share = self.quotas[tenant] if tenant is not None and tenant < len(self.quotas) else [0.0, math.inf]
        if share[1] > now + 2000.0:  # over its share by two seconds of it: worth little
            return stream_type.priority_weight * self.settings.over_quota_weight
        share[1] = max(now, share[1]) + share[0] if share[0] else 0.0
        return stream_type.priority_weight

    def apply_endpoint_list(self, entries, whole, now):
        named, grown, self.list_backoff_ms = set(), {}, self.list_backoff_bounds_ms[0]
        for ident, destination_number, zone, kind, rate, ready in entries:
            destination, blocked = (
                self.destinations.setdefault(destination_number, Destination(destination_number)),
                -math.inf,
            )
            apart = bool(
                kind < len(self.settings.separate_routes_by_kind)
                and self.settings.separate_routes_by_kind[kind]
            )
            if (old := self.endpoints.get(ident)) and (
                old.destination is not destination or old.has_separate_route != apart
            ):
                self._remove(
                    self.endpoints.pop(ident)
                )  # under its id it serves another now, or as another kind
                self.down_endpoints.pop(old, None)
                blocked = old.rate_limiter.retry_after_until if old.destination is destination else blocked
            if ident not in self.endpoints and not ready:
                continue
            listed = rate / 1000.0 if self.has_rates and rate > 0 else None
            if ident in self.endpoints:
                endpoint = self.endpoints[ident]
                endpoint.rate_limiter.update_from_list(listed)
            else:
                endpoint = self.endpoints[ident] = Endpoint(ident, zone, destination, self.node_position)
                fresh = apart or not destination.rate_limiter
                endpoint.rate_limiter = (
                    RateLimiter(listed, self.sharing) if fresh else destination.rate_limiter
                )
                destination.rate_limiter = destination.rate_limiter or endpoint.rate_limiter
                endpoint.rate_limiter.remember_listed_rate(listed)
            named.add(ident)
            endpoint.rate_limiter.extend_retry_after(blocked)  # a told wait outlasts the change
            endpoint.has_separate_route, endpoint.is_ready, endpoint.zone = (
                apart,
                ready,
                zone,
            )  # it may come back elsewhere
            endpoint.batch_size = (
                self.settings.batch_size_by_kind[kind] if kind < len(self.settings.batch_size_by_kind) else 1
            )
            endpoint.carriage_cost = (
                self.carriage_costs[zone] if apart and zone < len(self.carriage_costs) else 0.0
            )
            if ready and endpoint not in destination.endpoints:
                grown[destination] = destination.endpoints = destination.endpoints + [endpoint]
        for destination in grown:
            destination.endpoints.sort(key=lambda s: (s.carriage_cost, s.rank))
        for endpoint in [
            s for s in self.endpoints.values() if not s.is_ready or (whole and s.endpoint_id not in named)
        ]:
            self._remove(endpoint)
            # One that comes back under its id within an outage or a told wait must find both still known.
            known_until = max(
                endpoint.last_outcome_at + 2 * self.warm_up_ms, endpoint.rate_limiter.retry_after_until
            )
            if not endpoint.calls_in_flight and not endpoint.has_probe_in_flight and now > known_until:
                self.down_endpoints.pop(endpoint, None)
                del self.endpoints[endpoint.endpoint_id]

    @staticmethod
    def _remove(endpoint):
        endpoint.is_ready = False
        if endpoint in endpoint.destination.endpoints:
            endpoint.destination.endpoints.remove(endpoint)

    def list_request_failed(self, now):
        """When to ask again: exponential backoff where a call is a load on discovery shared by all nodes.
        Repeated sooner than it can answer all, calls keep it turning them away or answering too late.
        """
        self.next_list_request_at = now + self.list_backoff_ms * self.random_uniform(
            1 - BACKOFF_SPREAD, 1 + BACKOFF_SPREAD
        )
        self.list_backoff_ms = min(2 * self.list_backoff_ms, self.list_backoff_bounds_ms[1])
        return self.next_list_request_at

    def should_request_list(self, now):
        if now < self.next_list_request_at:
            return False
        self.next_list_request_at = math.inf
        return True

    def withdraw(self, event, now):
        self._release(event)

    def sort_by_urgency(self, events, now):
        spans = {
            destination: self.ranking_horizon_ms(destination, now)
            for destination in dict.fromkeys(event.destination for event in events)
        }
        return sorted(events, key=lambda event: self.urgency_rank(event, spans[event.destination], now))

    def ranking_horizon_ms(self, destination, now):
        """Ms by which the events of a destination are ranked: what its whole queue takes."""
        return min(self.sharing.longest_wait_ms, max(1000.0, self.queue_drain_time_ms(destination, now)))

    def urgency_rank(self, event, span, now):
        """Events of lower rank are asked for first."""
        return -self._delay_cost(event, span, now), event.latency_objective_at

    def ordering_turn_at(self, event, now):
        """When its subject's turn is this event's: `now`, later, or inf: after those before it."""
        if not event.ordering_key:
            return now
        line, rest = self.ordering_queues[event.ordering_key]
        if line[0] is not event:
            return math.inf
        return max(rest, now + 1.0) if rest > now and event.attempts == 0 else now

    def queue_class(self, event):
        """Events of one destination for which this is equal are told the same until one is sent."""
        return event.stream_type, event.may_have_run_group if self._is_bound_to_group(event) else None

    def has_joinable_call(self, destination, now):
        """Whether a call of this turn takes others with it, though maybe not each event."""
        return any(endpoint.rate_limiter.has_joinable_call(now) for endpoint in destination.endpoints)

    def find_destination(self, number):
        """The destination of this number, or None while no list has named it."""
        return self.destinations.get(number)

    def next_in_order(self, ordering_key):
        """The event whose turn it is among those of an ordering key; None when none is held."""
        queue = self.ordering_queues.get(ordering_key)
        return queue[0][0] if queue and queue[0] else None

    def excess_pending(self):
        """How many events are held beyond the capacity."""
        return self.pending_count - int(self.capacity)

    def has_separate_routes(self, destination):
        """Whether the endpoints of a destination have limits of their own."""
        return bool(destination.endpoints and destination.endpoints[0].has_separate_route)

    def all_slots_in_use(self):
        return self.calls_in_flight >= self.max_calls_in_flight

    def slots_are_scarce(self):
        """Whether events may wait for a slot that a send of any destination holds."""
        return self.calls_in_flight >= SCARCE_SLOTS_SHARE * self.max_calls_in_flight

    def is_over_capacity(self):
        return self.pending_count > self.capacity

    def decide(self, event, now):
        """Send, Later, Decline or Discard."""
        if (
            self._is_spent(event, now)
            or self.pending_count > self.capacity
            and self._has_longest_queue(event.destination)
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
            or not self._may_go_to(event, endpoint)
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
            self.calls_in_flight, endpoint.calls_in_flight, self.newly_idle[endpoint] = (
                self.calls_in_flight - 1,
                endpoint.calls_in_flight - 1,
                True,
            )
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
                self.ordering_queues[event.ordering_key][1] = now + self.settings.ordering_rest_ms
        if is_finished or event.is_finished:
            self._release(event)
            return None
        event.check_at, event.waits_for_outcome = now, False
        return self._give_up(event, now) if self._is_spent(event, now) else Defer()

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
                now + self._recovery_pause_ms(endpoint, now),
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
        return min(m if m > now else math.inf for m in [self.next_list_request_at, *trials])

    def _delay_cost(self, event, span, now):
        """The utility a ms that waiting for the queue (`span`) would cost, once late; less while the SLO time
        is far. Guards an overload, where the oldest first would have all of them served too late.
        """
        late = max(now, event.latency_objective_at)
        lost = (self._value_at(event, late) - self._value_at(event, max(now + span, late + 1000.0))) / span
        return lost * math.exp(
            min(0.0, now + span - 1000.0 - event.latency_objective_at)
            / max(200.0, event.stream_type.latency_objective_ms)
        )

    def _value_at(self, event, at):
        stream_type, late, worth = (
            event.stream_type,
            max(0.0, at - event.latency_objective_at),
            event.priority_weight * (at <= event.expires_at),
        )
        if self.settings.halves_late_value:
            return worth * max(
                stream_type.late_weight, 0.5 ** (late / max(1.0, stream_type.latency_objective_ms))
            )
        part = min(1.0, late / max(1.0, stream_type.max_age_ms - stream_type.latency_objective_ms))
        return worth * (1 - (1 - stream_type.late_weight) * part)

    @staticmethod
    def deduplication_group(event, endpoint):
        """Which endpoints know a repeat of an event sent here, by what outlasts a process: those of its zone,
        or this one alone where the group is none of the pages'.
        """
        return (
            endpoint.zone
            if event.stream_type.deduplication_group in ("all", "zone")
            else endpoint.endpoint_id
        )

    @staticmethod
    def _is_bound_to_group(event):
        return (
            event.may_have_run_at is not None
            and event.stream_type.effect == Effect.DEDUPLICATED
            and event.stream_type.deduplication_group != "all"
        )

    def _may_go_to(self, event, endpoint):
        return (
            not self._is_bound_to_group(event)
            or self.deduplication_group(event, endpoint) == event.may_have_run_group
        )

    def _select_endpoint(self, event, now):
        """(sink, moment, joins a call): the sink to send to now, or None and when there may be one."""
        rows = []
        for endpoint in event.destination.endpoints:
            if not self._may_go_to(event, endpoint):
                continue
            if endpoint.rate_limiter.has_joinable_call_to(endpoint, now) and self._may_share_call(
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
        busy = sum(endpoint.calls_in_flight for endpoint in event.destination.endpoints)
        if (
            self.calls_in_flight >= self.max_calls_in_flight
            or not rows
            or self.calls_in_flight >= SCARCE_SLOTS_SHARE * self.max_calls_in_flight
            and busy * 2 >= self.calls_in_flight
        ):
            # The last keeps a destination that hangs from taking the slots of all others before it is quiet.
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
                return self._value_at(event, start + row[0].rate_limiter.recent_latency_ms.value) - row[
                    0
                ].carriage_cost, -start

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
        cold = now - endpoint.warming_since < self.warm_up_ms
        return max(key.ready_at(), endpoint.retry_at, key.next_cold_slot_at if cold else now)

    def _send(self, event, endpoint, joins, now):
        key = endpoint.rate_limiter
        if joins:
            call, cost = key.join_shared_call(), SHARED_EVENT_COST
        else:
            call, cost = Call(endpoint), CALL_COST
            alone = endpoint.is_down or not self._may_share_call(event, endpoint, now)
            key.offer_shared_call(call, now, 0 if alone else endpoint.batch_size - 1)
            self.calls_in_flight += 1
            endpoint.last_outcome_at = endpoint.last_outcome_at if endpoint.calls_in_flight else now
            endpoint.calls_in_flight += 1
        key.book(now, cost)
        if endpoint.is_down or now - endpoint.warming_since < self.warm_up_ms:
            # The trial of an endpoint that has not failed itself waits for no moment, and puts none off.
            booked = (
                now if endpoint.is_down and not endpoint.has_passed_probe else max(now, key.next_cold_slot_at)
            )
            key.next_cold_slot_at = booked + cost * self._recovery_pause_ms(endpoint, now)
        call.unresolved_count += 1
        event.call, event.endpoint, event.sent_at, event.attempts = call, endpoint, now, event.attempts + 1
        event.sent_group = self.deduplication_group(event, endpoint)
        return Send(endpoint, self._timeout_ms(event, endpoint, now))

    def _recovery_pause_ms(self, endpoint, now):
        """Guards a destination that is out or returns cold: this node's part of the fall budget, for trials,
        probes and events: the mean of its usual share and an even one among the nodes that can have met the
        outage. Both add up, however many nodes there are. Hurts where others leave theirs unused.
        """
        key, growth = endpoint.rate_limiter, (1 - self.settings.cold_capacity_share) / self.warm_up_ms
        present = self.settings.cold_capacity_share + (
            0.0 if endpoint.is_down else growth * (now - endpoint.warming_since)
        )
        busy = max(key.sharing.busy_span_ms, now - key.outage_began_at)
        share = key.share_among_nodes(busy) if key.listed_rate else key.rate_before_outage or MIN_RATE_PER_MS
        pause = 2.0 / (
            self.settings.overload_multiple * (key.rate_before_outage + key.listed_rate_confidence * share)
        )  # were it warm
        if endpoint.is_down or not growth:
            return self.random_uniform(0.8, 1.2) * pause / present
        # Over which a share that grows with the endpoint amounts to one call.
        return self.random_uniform(0.8, 1.2) * (math.sqrt(present**2 + 2 * growth * pause) - present) / growth

    def _may_share_call(self, event, endpoint, now):
        """Whether it may travel with others. Guards them: a call ends for all when the time of one of its
        events is up, and one that has less left than a slow answer takes would break it off for the others.
        Hurts near the end of many events, each of which takes a slot.
        """
        rest = self._time_left_ms(event, now)
        return (
            rest >= endpoint.rate_limiter.silence_threshold_ms()
            or self._timeout_ms(event, endpoint, now) < rest
        )

    def _time_left_ms(self, event, now):
        """Ms for which an answer may be waited for: after that there must be time to tell the event's end."""
        return event.expires_at - self.answer_margin_ms - now

    def _timeout_ms(self, event, endpoint, now):
        rest = self._time_left_ms(event, now)
        if event.stream_type.effect == Effect.NON_IDEMPOTENT:
            return max(1.0, rest)  # a time-out would only end it: nothing may follow
        cold = 2.0 if now - endpoint.warming_since < self.warm_up_ms else 1.0
        allow = min(
            cold * (BASE_TIMEOUT_MS + TIMEOUT_LATENCIES * endpoint.rate_limiter.recent_latency_ms.value),
            MAX_TIMEOUT_MS,
        )
        most = (
            TIMEOUT_SHARE * event.stream_type.deduplication_window_ms
            if event.stream_type.effect == Effect.DEDUPLICATED
            else max(BASE_TIMEOUT_MS, TIMEOUT_SHARE * rest)
        )
        return max(1.0, min(allow, most, rest))

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
                    key.next_cold_slot_at, now + self._recovery_pause_ms(endpoint, now)
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
            and now - max(endpoint.acked_at, endpoint.warming_since + self.warm_up_ms) > LONE_FAILURE_MS
        ):
            # The last: a node of little traffic may see one call fail in all of an outage, and counts.
            self._mark_down(endpoint, now, outcome == SendOutcome.RATE_LIMITED)
        elif key.consecutive_failures >= MAX_CONSECUTIVE_FAILURES and outcome != SendOutcome.RATE_LIMITED:
            key.reduce_rate(now, False)

    def _mark_down(self, endpoint, now, shut):
        """Guards against an outage of the whole destination of which this node sees little: endpoints beside
        it that long acked nothing get one trial, none when shut. Hurts where one endpoint alone is out.
        """
        if self.endpoints.get(endpoint.endpoint_id) is not endpoint:
            return  # its call outlasted it: another is listed under its id, or none
        key = endpoint.rate_limiter
        beside = [s for s in endpoint.destination.endpoints if s.rate_limiter is key and s is not endpoint]
        if not any(s.is_down or now - s.warming_since < self.warm_up_ms for s in [endpoint, *beside]):
            # It may have begun any time since the last ack, and it does not lessen the usual part.
            key.begin_outage(
                max(now - self.warm_up_ms, *(s.acked_at for s in [endpoint, *beside])),
                endpoint.failing_since if endpoint.consecutive_failures else now,
            )
        for other in beside:
            if shut or other.acked_at < now - self.warm_up_ms / 2:
                other.is_down = self.down_endpoints[other] = True
                other.consecutive_failures = max(other.consecutive_failures, int(shut))
        endpoint.is_down = self.down_endpoints[endpoint] = True
        pause = self._recovery_pause_ms(endpoint, now) * self.random_uniform(0.0, 1.0)
        key.next_cold_slot_at = max(now, key.retry_after_until) + max(MIN_TRIAL_PAUSE_MS, pause)

    def _slow_everywhere(self):
        known = [
            key
            for key in {s.rate_limiter for s in self.endpoints.values()}
            if key.lowest_latency_ms is not None
        ]
        return len(known) > 2 and sum(key.latency_has_risen() for key in known) * 2 > len(known)

    def _has_longest_queue(self, destination):
        return (
            destination.pending_count * sum(1 for d in self.destinations.values() if d.pending_count)
            > self.pending_count
        )

    def give_up_at(self, event, now):
        """When it is given up at the latest."""
        last = event.expires_at - self.answer_margin_ms
        if event.may_have_run_at is not None and event.stream_type.effect == Effect.DEDUPLICATED:
            last = min(
                last,
                event.may_have_run_at + event.stream_type.deduplication_window_ms - self.answer_margin_ms,
            )
        return last

    def _is_spent(self, event, now):
        return (
            now >= self.give_up_at(event, now)
            or event.attempts >= self.max_attempts
            or event.may_have_run_at is not None
            and event.stream_type.effect == Effect.NON_IDEMPOTENT
        )

    def is_safe_to_reject(self, event):
        """Whether handing it back can do no harm."""
        anywhere = (
            event.stream_type.effect == Effect.DEDUPLICATED and event.stream_type.deduplication_group == "all"
        )
        return event.may_have_run_at is None or event.stream_type.effect == Effect.IDEMPOTENT or anywhere

    def _give_up(self, event, now):
        self._release(event)
        return (
            Reject(self.retry_after_ms(event.destination, now))
            if self.is_safe_to_reject(event)
            else Abandon()
        )

    def retry_after_ms(self, destination, now):
        """Ms after which a client had best hand in again for a destination (None: unknown); 0: no advice."""
        return min(
            self.max_retry_after_ms,
            max(500.0, self.queue_drain_time_ms(destination, now) if destination else 0.0),
        )

    def queue_drain_time_ms(self, destination, now):
        """Ms until all events held for this destination could be sent, at the present rates."""
        keys = dict.fromkeys(
            [s.rate_limiter for s in destination.endpoints if not s.is_down]
            or [s.rate_limiter for s in destination.endpoints]
        )
        rate = sum(key.rate or math.inf for key in keys)
        return (
            destination.pending_count / rate + max(0.0, min(key.retry_after_until for key in keys) - now)
            if keys
            else math.inf
        )

    def _release(self, event):
        if not event.is_finished:
            event.is_finished = True
            event.destination.pending_count -= 1
            self.pending_count -= 1
        if event.ordering_key and event.call is None and event in self.ordering_queues[event.ordering_key][0]:
            self.ordering_queues[event.ordering_key][0].remove(event)
