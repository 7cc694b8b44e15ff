"""How receivers behave, without I/O: fed arrivals and a clock, it says what happens at which moment.

A driver (sockets now, virtual time elsewhere) builds a `ReceiverModel`, calls `open_connection`, `arrive`,
`abandon` and `apply` as things happen, and `advance` no later than `next_completion_at`. The same calls at
the same moments give the same answers: all chance comes from the one random source passed in. Moments and
lengths of time are ms.
"""

import heapq
import math
from collections import deque
from itertools import count
from typing import NamedTuple

# What a call gets. NOTHING: silence until its caller leaves.
DONE, ERROR, RATE_LIMITED, UNAVAILABLE, RESET, TRUNCATED, NO_REPLY = (
    "done",
    "error",
    "full",
    "shut",
    "reset",
    "half",
    "nothing",
)

# Slack of a recovery budget for chance.
OVERLOAD_SLACK_CALLS = 3.0  # calls
OVERLOAD_SLACK_SIGMAS = 3.0  # x the budget's square root


class Answer(NamedTuple):
    """What the driver writes to a call, and the wait that it tells (ms; 0: none).

    `reached_worker`: it got as far as the receiver's work, so that it may have run.
    """

    call: object
    outcome: str
    retry_after_ms: float = 0.0
    reached_worker: bool = False


class Call:
    """One call under way. `tag` is the driver's; `size`: events in it."""

    __slots__ = ("tag", "endpoint", "size", "arrived", "completes_at", "is_abandoned")

    def __init__(self, tag, endpoint, size, arrived):
        self.tag, self.endpoint, self.size, self.arrived = tag, endpoint, size, arrived
        self.completes_at, self.is_abandoned = math.inf, False


def service_time_sampler(kind, mean_ms, cv, rng):
    """A function that draws one service time in ms."""
    if kind == "fixed":
        return lambda: mean_ms
    if kind == "exponential":
        return lambda: rng.expovariate(1.0 / mean_ms)
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return lambda: mean_ms * rng.lognormvariate(-sigma * sigma / 2.0, sigma)


class RateLimit:
    """Calls that a destination takes from all together.

    Smooth (each `1000 / rate` ms, `burst` early) or so many in each span. `refusals_use`: a refused call uses
    it up like any other. Waits are honest: after them there is room.
    """

    def __init__(self, rate_per_s, span_ms=0.0, burst=2, refusals_use=False):
        self.configured_rate = self.rate_per_ms = rate_per_s / 1000.0
        self.window_ms, self.burst, self.refusals_use = span_ms, burst, refusals_use
        self.next_slot_at, self.window_started_at, self.used_in_window = -math.inf, -math.inf, 0

    def try_admit(self, now, warmth=1.0):
        """(whether it takes one more call, ms until it will)."""
        if not self.rate_per_ms:
            return True, 0.0
        rate_per_ms = self.rate_per_ms * warmth
        return (
            self._admit_in_window(now, rate_per_ms) if self.window_ms else self._admit_paced(now, rate_per_ms)
        )

    def _admit_in_window(self, now, rate_per_ms):
        start = now - now % self.window_ms
        if start != self.window_started_at:
            self.window_started_at, self.used_in_window = start, 0
        is_admitted = self.used_in_window + 1 <= max(1.0, rate_per_ms * self.window_ms)
        self.used_in_window += is_admitted or self.refusals_use
        return is_admitted, 0.0 if is_admitted else start + self.window_ms - now

    def _admit_paced(self, now, rate_per_ms):
        slot_at = max(now, self.next_slot_at)
        ahead_ms = slot_at - now
        is_admitted = ahead_ms <= (self.burst - 1) / rate_per_ms + 1e-9
        if is_admitted or self.refusals_use:
            # Refused calls that use it up push the moment away, but never past one burst more.
            self.next_slot_at = (
                slot_at + 1.0 / rate_per_ms
                if is_admitted
                else min(slot_at + 1.0 / rate_per_ms, now + 2 * self.burst / rate_per_ms)
            )
        return is_admitted, 0.0 if is_admitted else self.next_slot_at - now - (self.burst - 1) / rate_per_ms


class Destination:
    """What its endpoints share: the limit, and how warm it is after an outage."""

    def __init__(
        self,
        number,
        limit,
        cold_from=1.0,
        warm_up_ms=1.0,
        fall_multiple=math.inf,
        fall_ms=2000.0,
        tells_wait=True,
    ):
        self.number, self.limit, self.tells_wait, self.endpoints = number, limit, tells_wait, []
        self.cold_from, self.warm_up_ms, self.overload_multiple, self.fall_ms = (
            cold_from,
            warm_up_ms,
            fall_multiple,
            fall_ms,
        )
        self.recovered_at, self.is_overloaded, self.unavailable_until, self.unavailability_wait_ms = (
            -math.inf,
            False,
            -math.inf,
            0.0,
        )
        self.recent_loads = deque()  # (moment, load) since it came back; emptied once it is warm

    def warmth(self, now):
        """The share of its capacity that it has."""
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * (now - self.recovered_at) / self.warm_up_ms)

    def capacity(self):
        """Calls per ms that it can do when warm."""
        if self.limit.rate_per_ms:
            return self.limit.rate_per_ms
        return sum(
            endpoint.workers / endpoint.mean_service_ms
            for endpoint in self.endpoints
            if not endpoint.is_removed
        )

    def is_down(self):
        return all(endpoint.is_down() or endpoint.is_removed for endpoint in self.endpoints)

    def record_load(self, now, load):
        """Count a call, refused or not; whether the destination falls by it (once)."""
        if self.is_overloaded or now >= self.recovered_at + self.warm_up_ms:
            self.recent_loads.clear()
            return False
        self.recent_loads.append((now, load))
        while self.recent_loads[0][0] < now - self.fall_ms:
            self.recent_loads.popleft()
        budget = self.overload_multiple * self.capacity() * self.warmth(now) * self.fall_ms
        self.is_overloaded = sum(
            load for _, load in self.recent_loads
        ) > budget + OVERLOAD_SLACK_CALLS + OVERLOAD_SLACK_SIGMAS * math.sqrt(budget)
        return self.is_overloaded


class Endpoint:
    """Workers, a queue with a bound, a table of connections, and what is wrong with it at present."""

    def __init__(
        self,
        name,
        destination,
        zone,
        workers,
        queue_capacity,
        max_connections,
        draw_service_ms,
        mean_service_ms,
    ):
        self.name, self.destination, self.zone, self.workers, self.queue_capacity = (
            name,
            destination,
            zone,
            workers,
            queue_capacity,
        )
        self.max_connections, self.draw_service_ms, self.mean_service_ms = (
            max_connections,
            draw_service_ms,
            mean_service_ms,
        )
        self.open_connections, self.busy_workers, self.queue = 0, 0, deque()
        self.is_crashed = self.is_silent = self.is_draining = self.is_removed = False
        self.paused_until, self.service_time_factor, self.failure_shares, self.rejection_share = (
            -math.inf,
            1.0,
            {},
            0.0,
        )
        destination.endpoints.append(self)

    def is_down(self):
        return self.is_crashed or self.is_silent


class ReceiverModel:
    """All receivers of a run. `on_event` is called with each thing that happens as (moment, words ...)."""

    def __init__(self, rng, on_event=lambda *row: None):
        self.rng, self.on_event, self.endpoints, self.destinations = rng, on_event, {}, {}
        self.completions = []  # heap of (moment, number, call); emptied as calls end
        self.completion_sequence = count()

    def add(self, endpoint):
        self.destinations[endpoint.destination.number], self.endpoints[endpoint.name] = (
            endpoint.destination,
            endpoint,
        )
        return endpoint

    def open_connection(self, endpoint):
        """Whether a connection finds room in the table; if so it holds a place until `close_connection`."""
        if endpoint.is_down() or endpoint.open_connections >= endpoint.max_connections:
            return False
        endpoint.open_connections += 1
        return True

    def close_connection(self, endpoint):
        endpoint.open_connections -= 1

    def arrive(self, now, endpoint, tag, size=1, extra_event_load=0.05):
        """A call's last byte has come: (the call, its answer if it has one at once)."""
        call, destination = Call(tag, endpoint, size, now), endpoint.destination
        self.on_event(now, "arrives", endpoint.name, tag)
        if not endpoint.is_down() and destination.record_load(now, 1.0 + extra_event_load * (size - 1)):
            self.on_event(now, "falls", destination.number)
            for other in destination.endpoints:
                other.is_crashed = True
        reply = self._immediate_reply(now, endpoint, destination)
        if reply:
            self.on_event(now, reply[0], endpoint.name, tag)
            return call, Answer(call, *reply)
        if endpoint.busy_workers < endpoint.workers:
            self._start(now, call)
        else:
            endpoint.queue.append(call)
        return call, None

    def _immediate_reply(self, now, endpoint, destination):
        """(outcome, Retry-After in ms) of a call answered at once, or None when it is admitted."""
        if endpoint.is_crashed:
            return RESET, 0.0
        if endpoint.is_silent:
            return NO_REPLY, 0.0
        if endpoint.is_draining or endpoint.is_removed:
            return UNAVAILABLE, 0.0
        if now < destination.unavailable_until:
            return (
                RATE_LIMITED,
                destination.unavailable_until - now if destination.unavailability_wait_ms else 0.0,
            )
        for outcome, share in endpoint.failure_shares.items():
            if self.rng.random() < share:
                return outcome, 0.0
        if endpoint.rejection_share and self.rng.random() < endpoint.rejection_share:
            return RATE_LIMITED, 0.0
        is_admitted, retry_after_ms = destination.limit.try_admit(now, destination.warmth(now))
        if not is_admitted:
            return RATE_LIMITED, retry_after_ms if destination.tells_wait else 0.0
        if endpoint.busy_workers >= endpoint.workers and len(endpoint.queue) >= endpoint.queue_capacity:
            return UNAVAILABLE, 0.0
        return None

    def _start(self, now, call):
        endpoint = call.endpoint
        endpoint.busy_workers += 1
        work_ms = (
            endpoint.draw_service_ms()
            * endpoint.service_time_factor
            * call.size
            / endpoint.destination.warmth(now)
        )
        call.completes_at = max(now, endpoint.paused_until) + work_ms
        heapq.heappush(self.completions, (call.completes_at, next(self.completion_sequence), call))

    def next_completion_at(self):
        return self.completions[0][0] if self.completions else math.inf

    def advance(self, now):
        """Answers of all calls that end until now, in order.

        A call whose caller has left ends too, unheard.
        """
        answers = []
        while self.completions and self.completions[0][0] <= now:
            at, _, call = heapq.heappop(self.completions)
            if call.completes_at != at:
                if call.completes_at < math.inf:  # a pause moved it
                    heapq.heappush(
                        self.completions, (call.completes_at, next(self.completion_sequence), call)
                    )
                continue
            endpoint = call.endpoint
            endpoint.busy_workers -= 1
            call.completes_at = math.inf
            self.on_event(at, DONE, endpoint.name, call.tag)
            answers.append(Answer(call, DONE, reached_worker=True))
            while endpoint.queue and endpoint.busy_workers < endpoint.workers:
                self._start(at, endpoint.queue.popleft())
        return answers

    def abandon(self, call):
        """The caller stopped waiting. The work goes on: a receiver learns of it too late."""
        call.is_abandoned = True

    def _drop_calls(self, endpoint):
        """The calls an endpoint held when it died; none of them ends."""
        unfinished = [
            call
            for _, _, call in self.completions
            if call.endpoint is endpoint and call.completes_at < math.inf
        ]
        unfinished += endpoint.queue
        for call in unfinished:
            call.completes_at = math.inf
        endpoint.queue.clear()
        endpoint.busy_workers = 0
        return [Answer(call, RESET, reached_worker=True) for call in unfinished]

    def apply(self, now, what, endpoints, share=1.0, wait_ms=0.0, factor=1.0, for_ms=0.0):
        """Something happens to endpoints; the answers that it leads to at once."""
        self.on_event(now, what, *[endpoint.name for endpoint in endpoints])
        answers = []
        for endpoint in endpoints:
            destination = endpoint.destination
            if what in ("refuse", "vanish"):
                if what == "refuse":
                    answers += self._drop_calls(endpoint)
                else:
                    self._drop_calls(endpoint)
                endpoint.is_crashed, endpoint.is_silent = what == "refuse", what == "vanish"
            elif what == "errors":
                endpoint.failure_shares[ERROR] = share
            elif what == "reset_after":
                endpoint.failure_shares[RESET] = share
            elif what == "half_answers":
                endpoint.failure_shares[TRUNCATED] = share
            elif what == "swallow":
                endpoint.failure_shares[NO_REPLY] = share
            elif what == "full":
                endpoint.rejection_share = share
            elif what == "shut":
                destination.unavailable_until, destination.unavailability_wait_ms = now + for_ms, wait_ms
            elif what == "slow":
                endpoint.service_time_factor = factor
            elif what == "limit":
                destination.limit.rate_per_ms = destination.limit.configured_rate * factor
            elif what == "pause":
                self._pause(now, endpoint, now + for_ms)
            elif what == "drain":
                endpoint.is_draining = True
            elif what in ("gone", "join"):
                endpoint.is_removed = what == "gone"
            elif what == "heal":
                self._heal(now, endpoint)
        return answers

    def _pause(self, now, endpoint, until):
        delay_ms = until - max(now, endpoint.paused_until)
        if delay_ms <= 0:
            return
        for _, _, call in self.completions:
            if call.endpoint is endpoint and call.completes_at < math.inf:
                call.completes_at += delay_ms
        endpoint.paused_until = until
        # Ends lie in the heap under their old moments and move when those pass: none is early, for all are
        # later.

    def _heal(self, now, endpoint):
        destination, was_down = endpoint.destination, endpoint.destination.is_down()
        endpoint.is_crashed = endpoint.is_silent = endpoint.is_draining = False
        endpoint.failure_shares, endpoint.rejection_share, endpoint.service_time_factor = {}, 0.0, 1.0
        destination.unavailable_until, destination.is_overloaded, destination.limit.rate_per_ms = (
            min(destination.unavailable_until, now),
            False,
            destination.limit.configured_rate,
        )
        if was_down and not destination.is_down():
            destination.recovered_at = now
            destination.recent_loads.clear()
            self.on_event(now, "back", destination.number)
