"""Queues of pending events: the same decisions as asking for every event, at a cost that does not grow."""

import copy
import math
import random
from itertools import count
from typing import NamedTuple

import pytest

from swiftthread.routing import health
from swiftthread.routing.messages import Defer, Reject, Send, SendOutcome
from swiftthread.routing.router import Router
from swiftthread.routing.settings import Effect, Settings, StreamType
from swiftthread.service import queue_group
from swiftthread.service.pending_queues import PendingQueues

STREAMS = [
    StreamType(1500.0, 6000.0, 3.0, effect=Effect.IDEMPOTENT),
    StreamType(
        3000.0,
        8000.0,
        1.0,
        0.5,
        effect=Effect.DEDUPLICATED,
        deduplication_group="zone",
        deduplication_window_ms=4000.0,
    ),
    StreamType(3000.0, 8000.0, 1.0, effect=Effect.NON_IDEMPOTENT),
    StreamType(2000.0, 7000.0, 2.0, effect=Effect.IDEMPOTENT, is_ordered=True),
]


def make_router(destinations=1, rate=50.0, endpoints=2, **more):
    router = Router(
        Settings(
            **(
                {
                    "stream_types": STREAMS,
                    "listed_rates": "nominal",
                    "overload_multiple": 2.0,
                    "cold_capacity_share": 0.2,
                    "warm_up_ms": 2000.0,
                    "max_calls_in_flight": 16,
                    "max_pending_events": 10**6,
                }
                | more
            ),
        ),
        3,
    )
    router.apply_endpoint_list(
        [(f"s{d}-{n}", d, n % 2, 0, rate, True) for d in range(destinations) for n in range(endpoints)],
        True,
        0.0,
    )
    return router


class CountingRouter:
    """A router whose calls of `decide` are counted."""

    def __init__(self, router):
        self.router = router
        self.asked = 0

    def __getattr__(self, name):
        return getattr(self.router, name)

    def decide(self, event, now):
        self.asked += 1
        return self.router.decide(event, now)


def play_acks(router, held, seconds=5.0, latency=20.0, destinations=1):
    """Hold so many events and serve them for a while: (calls of `decide`, events that moved)."""
    counted = CountingRouter(router)
    queues, now, moved, out = PendingQueues(counted), 0.0, 0, []
    for number in range(held):
        queues.add(router.add_event(0.0, number % 3, number % destinations, 10**6, ordering_key=0), 0.0)
    while now < 1000.0 * seconds:
        now += 5.0
        while out and out[0][0] <= now:
            _, event = out.pop(0)
            router.record_outcome(event, SendOutcome.ACKED, now, latency, is_finished=True)
            queues.wake(event.destination)
            queues.remove(event)
        for event, answer in queues.run_cycle(now):
            moved += 1
            if isinstance(answer, Send):
                out.append((now + latency, event))
    return counted.asked, moved


@pytest.mark.parametrize("destinations, rate", [(1, 100.0), (1, 0.0), (90, 5.0)])
def test_calls_for_each_event_that_moves_do_not_grow_with_those_held(destinations, rate):
    each = []
    for held in (100, 1000, 10_000):
        streams = [stream._replace(max_age_ms=10.0**6) for stream in STREAMS]
        asked, moved = play_acks(
            make_router(destinations, rate, stream_types=streams, max_calls_in_flight=16),
            held,
            destinations=destinations,
        )
        assert moved > 60
        each.append(asked / moved)
    assert each[2] < 1.3 * each[1] and each[2] < 6.0, each


def test_a_thousand_that_wait_for_a_retry_after_are_asked_once_it_ends():
    router = make_router(rate=100.0, max_calls_in_flight=1000)
    counted = CountingRouter(router)
    queues = PendingQueues(counted)
    first = router.add_event(0.0, 0, 0, 60_000.0)
    queues.add(first, 0.0)
    assert isinstance(queues.run_cycle(0.0)[0][1], Send)
    router.record_outcome(first, SendOutcome.RATE_LIMITED, 5.0, 5.0, retry_after_ms=1500.0)
    queues.wake(first.destination)
    for _ in range(10_000):
        queues.add(router.add_event(5.0, 0, 0, 60_000.0), 5.0)
    counted.asked = 0
    for now in range(10, 1500, 5):
        assert queues.run_cycle(float(now)) == []
    assert counted.asked <= 2
    moved = [at for now in range(1500, 4000, 5) for at in [now] * len(queues.run_cycle(float(now)))]
    assert moved and moved[0] >= 1505 and counted.asked < 4 * len(moved) + 10


def test_deadlines_are_kept_for_every_event_in_whatever_it_waits():
    router = make_router(rate=1.0, max_calls_in_flight=1)
    queues, ended, left = PendingQueues(router), {}, {}
    for number in range(40):
        event = router.add_event(0.0, number % 4, 0, 500.0 + 10.0 * number, ordering_key=number % 3 + 1)
        left[event] = event.expires_at
        queues.add(event, 0.0)
    for now in range(0, 1000, 5):
        for event, answer in queues.run_cycle(float(now)):
            if not isinstance(answer, Send):
                ended[event] = float(now)
                queues.remove(event)
    assert len(ended) >= 37 and len(queues) == 0
    assert all(left[event] - 40.0 <= at <= left[event] for event, at in ended.items())
    assert queues.event_timers.deadlines == {}
    assert queues.groups == {} and queues.groups_by_destination == {}


def test_an_ordering_key_goes_one_at_a_time_in_order():
    router = make_router(rate=0.0, max_calls_in_flight=10)
    queues, lines = PendingQueues(router), []
    events = [router.add_event(0.0, 3, 0, 7000.0, ordering_key=7) for _ in range(5)]
    for event in reversed(events):
        queues.add(event, 0.0)
    for now in range(0, 200, 5):
        for event, _ in queues.run_cycle(float(now)):
            lines.append(events.index(event))
            router.record_outcome(event, SendOutcome.ACKED, now + 1.0, 1.0, is_finished=True)
            queues.wake(event.destination)
            queues.remove(event)
    assert lines == [0, 1, 2, 3, 4]


def test_over_capacity_the_least_urgent_are_rejected():
    router = make_router(2, rate=1.0, max_calls_in_flight=4, max_pending_events=50)
    queues = PendingQueues(router)
    router.add_event(0.0, 0, 1, 6000.0)  # another queue, a short one
    events = [router.add_event(0.0, number % 2, 0, 3000.0 + 50.0 * number) for number in range(60)]
    span = router.ranking_horizon_ms(events[0].destination, 0.0)
    order = sorted(events, key=lambda event: router.urgency_rank(event, span, 0.0))
    for event in events:
        queues.add(event, 0.0)
    gone = {event for event, answer in queues.run_cycle(0.0) if isinstance(answer, Reject)}
    assert gone == set(order[-15:]) and not router.is_over_capacity()


class QueuedEvent(NamedTuple):
    """What became of one event in a scheduling cycle, comparable between a router and its copy."""

    ticket: int
    answer_type: type
    endpoint_id: str | None

    @classmethod
    def of(cls, event, answer):
        endpoint_id = answer.endpoint.endpoint_id if isinstance(answer, Send) else None
        return cls(event.handle, type(answer), endpoint_id)


class NaiveQueue:
    """Asks for every event in each cycle: those at their deadline first, the rest in the router's order."""

    def __init__(self, router, events):
        self.router = router
        self.events = set(events)

    def run_cycle(self, now):
        ending = [event for event in self.events if now >= self.router.give_up_at(event, now)]
        decided = self._ask(ending, now)
        others = self.router.sort_by_urgency(self.events - set(ending), now)
        return decided + self._ask(others, now)

    def _ask(self, events, now):
        answers = [(event, self.router.decide(event, now)) for event in events]
        return [QueuedEvent.of(event, answer) for event, answer in answers if not isinstance(answer, Defer)]


class RandomRun:
    """Random events and outcomes; some cycles are compared with asking a router's copy for all events."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.router = make_router(
            4,
            rate=self.random.choice([0.0, 20.0, 60.0]),
            endpoints=3,
            max_calls_in_flight=self.random.choice([3, 8, 40]),
            ordering_pause_ms=100.0,
            warm_up_ms=60_000.0,
        )
        self.queues = PendingQueues(self.router)
        self.pending = {}  # ordered set of the events in the queues
        self.in_flight = []  # (moment of the outcome, event, outcome)
        self.next_ticket = count()
        self.decided_count = self.compared_count = 0

    def play(self):
        now = 0.0
        while now < 5000.0:
            now += 5.0
            self._record_outcomes(now)
            if now < 4000.0 and self.random.random() < 0.5:
                self._submit(now)
            self._run_cycle(now)

    def _record_outcomes(self, now):
        for arrival in [arrival for arrival in self.in_flight if arrival[0] <= now]:
            self.in_flight.remove(arrival)
            _, event, outcome = arrival
            is_told_to_wait = outcome == SendOutcome.RATE_LIMITED and self.random.random() < 0.5
            answer = self.router.record_outcome(
                event,
                outcome,
                now,
                20.0,
                retry_after_ms=300.0 if is_told_to_wait else 0.0,
                is_finished=outcome == SendOutcome.ACKED,
            )
            self.queues.wake(event.destination)
            if isinstance(answer, Defer):
                self._add(event, now)
            else:
                self.queues.remove(event)

    def _submit(self, now):
        stream_type_number = self.random.randrange(4)
        event = self.router.add_event(
            now,
            stream_type_number,
            self.random.randrange(4),
            self.random.uniform(800.0, STREAMS[stream_type_number].max_age_ms),
            ordering_key=self.random.randrange(1, 9),
        )
        event.handle = next(self.next_ticket)
        self._add(event, now)

    def _add(self, event, now):
        self.pending[event] = True
        self.queues.add(event, now)

    def _run_cycle(self, now):
        expected = None
        if self.random.random() < 0.4:
            expected = NaiveQueue(*copy.deepcopy((self.router, list(self.pending)))).run_cycle(now)
        decisions = self.queues.run_cycle(now)
        decided = [QueuedEvent.of(event, answer) for event, answer in decisions]
        self.decided_count += len(decided)
        # A send elsewhere can let a destination off its part of scarce slots: that is seen at the next
        # outcome, as ever.
        if expected is not None and not self.router.slots_are_scarce() and not self.queues.waiting_for_slot:
            assert sorted(decided, key=str) == sorted(expected, key=str), (now, decided, expected)
            self.compared_count += len(expected)
        for event, answer in decisions:
            del self.pending[event]
            if isinstance(answer, Send):
                self._put_in_flight(event, now)
            else:
                self.queues.remove(event)

    def _put_in_flight(self, event, now):
        outcomes = [SendOutcome.ACKED, SendOutcome.RATE_LIMITED, SendOutcome.TIMED_OUT]
        [outcome] = self.random.choices(outcomes, [8, 1, 1])
        self.in_flight.append((now + self.random.uniform(5.0, 60.0), event, outcome))


@pytest.mark.parametrize("seed", range(8))
def test_what_is_decided_is_what_would_be_if_all_were_asked(seed, monkeypatch):
    monkeypatch.setattr(queue_group, "RESORT_INTERVAL_MS", -1.0)
    monkeypatch.setattr(queue_group, "RESORT_INTERVAL_PER_ENTRY_MS", 0.0)
    # The end of an ejection wakes nobody; it never did.
    monkeypatch.setattr(health, "STREAM_TYPE_EJECTION_MS", 0.0)
    run = RandomRun(seed)
    run.play()
    assert run.decided_count > 150 and run.compared_count > 5 and len(run.queues) == len(run.pending)
    timers = run.queues.event_timers
    moments = {timer: at for at, _, timer in timers.heap}
    assert all(math.isfinite(moments[timer]) for timer in timers.deadlines.values())


def test_nothing_is_kept_of_events_that_have_left():
    """A long max age and many outcomes: the size of the heaps is in proportion to what waits."""
    streams = [stream._replace(max_age_ms=10.0**6) for stream in STREAMS]
    router = make_router(3, rate=0.0, max_calls_in_flight=4, stream_types=streams)
    queues, now, out = PendingQueues(router), 0.0, []
    for number in range(4000):
        now += 2.0
        queues.add(router.add_event(now, number % 3, number % 3, 10.0**6), now)
        for event in out:
            router.record_outcome(event, SendOutcome.ACKED, now, 2.0, is_finished=True)
            queues.wake(event.destination)
            queues.remove(event)
        out = [event for event, answer in queues.run_cycle(now) if isinstance(answer, Send)]
    assert len(queues) < 10
    assert len(queues.event_timers.heap) < 200 and len(queues.group_timers.heap) < 60
    assert len(queues.event_timers.deadlines) == len(queues)


def test_those_behind_an_event_that_joins_no_call_join_it_all_the_same():
    router = make_router(
        rate=4.0,
        endpoints=1,
        batch_size_by_kind=[5],
        stream_types=[StreamType(1500.0, 10000.0, effect=Effect.IDEMPOTENT)],
    )
    queues = PendingQueues(router)
    first, short, last = events = [router.add_event(0.0, 0, 0, left) for left in (9000.0, 500.0, 10000.0)]
    assert sorted(events, key=lambda event: router.urgency_rank(event, 1000.0, 0.0)) == events
    for event in events:
        queues.add(event, 0.0)
    assert [event for event, _ in queues.run_cycle(0.0)] == [first, last] and short in queues.group_of


def test_an_event_asked_out_of_order_that_comes_back_moves_once():
    """It had two entries in its group and was rejected by both, which broke off the scheduling cycle."""
    router = make_router(
        2,
        rate=4.0,
        endpoints=1,
        batch_size_by_kind=[5],
        stream_types=[StreamType(1500.0, 10000.0, effect=Effect.IDEMPOTENT)],
    )
    queues = PendingQueues(router)
    router.add_event(0.0, 0, 1, 9000.0)  # another queue, a short one
    first, short, last = events = [router.add_event(0.0, 0, 0, left) for left in (9000.0, 500.0, 10000.0)]
    for event in events:
        queues.add(event, 0.0)
    assert [event for event, _ in queues.run_cycle(0.0)] == [first, last]
    for event in (first, last):
        router.record_outcome(event, SendOutcome.RATE_LIMITED, 50.0, 50.0)
        queues.add(event, 50.0)
    router.pending.capacity = 1
    moved = [event for event, _ in queues.run_cycle(60.0)]
    assert len(moved) == len(set(moved)) == 2 and len(queues) == 1
    groups = queues.groups.values()
    assert sum(group.is_current(entry) for group in groups for entry in group.entries) == 1
    assert sum(len(group) for group in groups) == 1
