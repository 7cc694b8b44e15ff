"""How receivers behave, without I/O: fed arrivals and a clock, it says what happens at which moment.

A driver (sockets now, virtual time elsewhere) builds a `World`, calls `connects`, `arrive`, `left` and
`apply` as things happen, and `advance` no later than `next_moment`. The same calls at the same moments give
the same answers: all chance comes from the one random source handed in. Moments and lengths of time are ms.
"""

import heapq
import math
from collections import deque
from itertools import count
from typing import NamedTuple

# What a call gets. NOTHING: silence until its caller leaves.
DONE, ERROR, FULL, SHUT, RESET, HALF, NOTHING = "done", "error", "full", "shut", "reset", "half", "nothing"

SLACK_CALLS, SLACK_SIGMA = (
    3.0,
    3.0,
)  # calls, and x their square root: chance that a fall budget leaves room for


class Answer(NamedTuple):
    """What the driver writes to a call, and the wait that it tells (ms; 0: none).

    `reached`: it got as far as the receiver's work, so that it may have run.
    """

    call: object
    said: str
    wait_ms: float = 0.0
    reached: bool = False


class Call:
    """One call under way. `tag` is the driver's; `size`: events in it."""

    __slots__ = ("tag", "endpoint", "size", "arrived", "ends_at", "gone")

    def __init__(self, tag, endpoint, size, arrived):
        self.tag, self.endpoint, self.size, self.arrived = tag, endpoint, size, arrived
        self.ends_at, self.gone = math.inf, False


def service_of(kind, mean_ms, cv, rng):
    """A function that draws one service time in ms."""
    if kind == "fixed":
        return lambda: mean_ms
    if kind == "exponential":
        return lambda: rng.expovariate(1.0 / mean_ms)
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return lambda: mean_ms * rng.lognormvariate(-sigma * sigma / 2.0, sigma)


class Limit:
    """Calls that a destination takes from all together.

    Smooth (each `1000 / rate` ms, `burst` early) or so many in each span. `refusals_use`: a refused call uses
    it up like any other. Waits are honest: after them there is room.
    """

    def __init__(self, rate_per_s, span_ms=0.0, burst=2, refusals_use=False):
        self.told = self.rate = rate_per_s / 1000.0
        self.span, self.burst, self.refusals_use = span_ms, burst, refusals_use
        self.due, self.window, self.used = -math.inf, -math.inf, 0

    def admits(self, now, warmth=1.0):
        """(whether it takes one more call, ms until it will)."""
        if not self.rate:
            return True, 0.0
        rate = self.rate * warmth
        return self._in_span(now, rate) if self.span else self._smooth(now, rate)

    def _in_span(self, now, rate):
        start = now - now % self.span
        if start != self.window:
            self.window, self.used = start, 0
        fits = self.used + 1 <= max(1.0, rate * self.span)
        self.used += fits or self.refusals_use
        return fits, 0.0 if fits else start + self.span - now

    def _smooth(self, now, rate):
        due = max(now, self.due)
        early = due - now
        fits = early <= (self.burst - 1) / rate + 1e-9
        if fits or self.refusals_use:
            # Refused calls that use it up push the moment away, but never past one burst more.
            self.due = due + 1.0 / rate if fits else min(due + 1.0 / rate, now + 2 * self.burst / rate)
        return fits, 0.0 if fits else self.due - now - (self.burst - 1) / rate


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
        self.cold_from, self.warm_up, self.multiple, self.fall_ms = (
            cold_from,
            warm_up_ms,
            fall_multiple,
            fall_ms,
        )
        self.back_at, self.fallen, self.shut_until, self.shut_wait = -math.inf, False, -math.inf, 0.0
        self.loads = deque()  # (moment, load) since it came back; emptied once it is warm

    def warmth(self, now):
        """The share of its capacity that it has."""
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * (now - self.back_at) / self.warm_up)

    def capacity(self):
        """Calls per ms that it can do when warm."""
        if self.limit.rate:
            return self.limit.rate
        return sum(e.workers / e.mean_ms for e in self.endpoints if not e.gone)

    def out(self):
        return all(endpoint.out() or endpoint.gone for endpoint in self.endpoints)

    def pushed_over(self, now, load):
        """Count a call, refused or not; whether the destination falls by it (once)."""
        if self.fallen or now >= self.back_at + self.warm_up:
            self.loads.clear()
            return False
        self.loads.append((now, load))
        while self.loads[0][0] < now - self.fall_ms:
            self.loads.popleft()
        budget = self.multiple * self.capacity() * self.warmth(now) * self.fall_ms
        self.fallen = sum(load for _, load in self.loads) > budget + SLACK_CALLS + SLACK_SIGMA * math.sqrt(
            budget
        )
        return self.fallen


class Endpoint:
    """Workers, a queue with a bound, a table of connections, and what is wrong with it at present."""

    def __init__(self, name, dest, hall, workers, queue, connections, service, mean_ms):
        self.name, self.dest, self.hall, self.workers, self.queue_most = name, dest, hall, workers, queue
        self.connections, self.service, self.mean_ms = connections, service, mean_ms
        self.open, self.busy, self.queue = 0, 0, deque()
        self.down = self.silent = self.draining = self.gone = False
        self.paused_until, self.slow, self.fails, self.full = -math.inf, 1.0, {}, 0.0
        dest.endpoints.append(self)

    def out(self):
        return self.down or self.silent


class World:
    """All receivers of a run. `log` is told each thing that happens as (moment, words ...)."""

    def __init__(self, rng, log=lambda *row: None):
        self.rng, self.log, self.endpoints, self.dests = rng, log, {}, {}
        self.ends, self.turn = [], count()  # heap of (moment, number, call); emptied as calls end

    def add(self, endpoint):
        self.dests[endpoint.dest.number], self.endpoints[endpoint.name] = endpoint.dest, endpoint
        return endpoint

    def connects(self, endpoint):
        """Whether a connection finds room in the table; if so it holds a place until `disconnects`."""
        if endpoint.out() or endpoint.open >= endpoint.connections:
            return False
        endpoint.open += 1
        return True

    def disconnects(self, endpoint):
        endpoint.open -= 1

    def arrive(self, now, endpoint, tag, size=1, rider=0.05):
        """A call's last byte has come: (the call, its answer if it has one at once)."""
        call, dest = Call(tag, endpoint, size, now), endpoint.dest
        self.log(now, "arrives", endpoint.name, tag)
        if not endpoint.out() and dest.pushed_over(now, 1.0 + rider * (size - 1)):
            self.log(now, "falls", dest.number)
            for other in dest.endpoints:
                other.down = True
        said = self._at_the_door(now, endpoint, dest)
        if said:
            self.log(now, said[0], endpoint.name, tag)
            return call, Answer(call, *said)
        if endpoint.busy < endpoint.workers:
            self._start(now, call)
        else:
            endpoint.queue.append(call)
        return call, None

    def _at_the_door(self, now, endpoint, dest):
        """(what is said at once, its wait), or None when the call is taken in."""
        if endpoint.down:
            return RESET, 0.0
        if endpoint.silent:
            return NOTHING, 0.0
        if endpoint.draining or endpoint.gone:
            return SHUT, 0.0
        if now < dest.shut_until:
            return FULL, dest.shut_until - now if dest.shut_wait else 0.0
        for said, share in endpoint.fails.items():
            if self.rng.random() < share:
                return said, 0.0
        if endpoint.full and self.rng.random() < endpoint.full:
            return FULL, 0.0
        fits, wait = dest.limit.admits(now, dest.warmth(now))
        if not fits:
            return FULL, wait if dest.tells_wait else 0.0
        if endpoint.busy >= endpoint.workers and len(endpoint.queue) >= endpoint.queue_most:
            return SHUT, 0.0
        return None

    def _start(self, now, call):
        endpoint = call.endpoint
        endpoint.busy += 1
        work = endpoint.service() * endpoint.slow * call.size / endpoint.dest.warmth(now)
        call.ends_at = max(now, endpoint.paused_until) + work
        heapq.heappush(self.ends, (call.ends_at, next(self.turn), call))

    def next_moment(self):
        return self.ends[0][0] if self.ends else math.inf

    def advance(self, now):
        """Answers of all calls that end until now, in order.

        A call whose caller has left ends too, unheard.
        """
        answers = []
        while self.ends and self.ends[0][0] <= now:
            at, _, call = heapq.heappop(self.ends)
            if call.ends_at != at:
                if call.ends_at < math.inf:  # a pause moved it
                    heapq.heappush(self.ends, (call.ends_at, next(self.turn), call))
                continue
            endpoint = call.endpoint
            endpoint.busy -= 1
            call.ends_at = math.inf
            self.log(at, DONE, endpoint.name, call.tag)
            answers.append(Answer(call, DONE, reached=True))
            while endpoint.queue and endpoint.busy < endpoint.workers:
                self._start(at, endpoint.queue.popleft())
        return answers

    def left(self, call):
        """The caller stopped waiting. The work goes on: a receiver learns of it too late."""
        call.gone = True

    def _drop_all(self, endpoint):
        """The calls an endpoint held when it died; none of them ends."""
        held = [call for _, _, call in self.ends if call.endpoint is endpoint and call.ends_at < math.inf]
        held += endpoint.queue
        for call in held:
            call.ends_at = math.inf
        endpoint.queue.clear()
        endpoint.busy = 0
        return [Answer(call, RESET, reached=True) for call in held]

    def apply(self, now, what, endpoints, share=1.0, wait_ms=0.0, factor=1.0, for_ms=0.0):
        """Something happens to endpoints; the answers that it leads to at once."""
        self.log(now, what, *[endpoint.name for endpoint in endpoints])
        answers = []
        for endpoint in endpoints:
            dest = endpoint.dest
            if what in ("refuse", "vanish"):
                if what == "refuse":
                    answers += self._drop_all(endpoint)
                else:
                    self._drop_all(endpoint)
                endpoint.down, endpoint.silent = what == "refuse", what == "vanish"
            elif what == "errors":
                endpoint.fails[ERROR] = share
            elif what == "reset_after":
                endpoint.fails[RESET] = share
            elif what == "half_answers":
                endpoint.fails[HALF] = share
            elif what == "swallow":
                endpoint.fails[NOTHING] = share
            elif what == "full":
                endpoint.full = share
            elif what == "shut":
                dest.shut_until, dest.shut_wait = now + for_ms, wait_ms
            elif what == "slow":
                endpoint.slow = factor
            elif what == "limit":
                dest.limit.rate = dest.limit.told * factor
            elif what == "pause":
                self._pause(now, endpoint, now + for_ms)
            elif what == "drain":
                endpoint.draining = True
            elif what in ("gone", "join"):
                endpoint.gone = what == "gone"
            elif what == "heal":
                self._heal(now, endpoint)
        return answers

    def _pause(self, now, endpoint, until):
        late = until - max(now, endpoint.paused_until)
        if late <= 0:
            return
        for _, _, call in self.ends:
            if call.endpoint is endpoint and call.ends_at < math.inf:
                call.ends_at += late
        endpoint.paused_until = until
        # Ends lie in the heap under their old moments and move when those pass: none is early, for all are
        # later.

    def _heal(self, now, endpoint):
        dest, was_out = endpoint.dest, endpoint.dest.out()
        endpoint.down = endpoint.silent = endpoint.draining = False
        endpoint.fails, endpoint.full, endpoint.slow = {}, 0.0, 1.0
        dest.shut_until, dest.fallen, dest.limit.rate = min(dest.shut_until, now), False, dest.limit.told
        if was_out and not dest.out():
            dest.back_at = now
            dest.loads.clear()
            self.log(now, "back", dest.number)
