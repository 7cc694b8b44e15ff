"""Pending queues yield the same decisions as asking the router about every event, at a lower cost.

The number of questions to the router per decided event does not grow with the number pending.
"""

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

STREAM_TYPES = [
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


def make_router(destinations=1, rate=50.0, endpoints=2, **overrides):
    router = Router(
        Settings(
            **(
                {
                    "stream_types": STREAM_TYPES,
                    "listed_rates": "nominal",
                    "overload_multiple": 2.0,
                    "cold_capacity_share": 0.2,
                    "warm_up_ms": 2000.0,
                    "max_calls_in_flight": 16,
                    "max_pending_events": 10**6,
                }
                | overrides
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
        self.decide_count = 0

    def __getattr__(self, name):
        return getattr(self.router, name)

    def decide(self, event, now):
        self.decide_count += 1
        return self.router.decide(event, now)


def simulate_acks(router, pending_count, seconds=5.0, latency=20.0, destinations=1):
    """Queue events and ack those sent; returns the numbers of `decide` calls and of decided events."""
    counted = CountingRouter(router)
    queues, now, decided_count, in_flight = PendingQueues(counted), 0.0, 0, []
    for number in range(pending_count):
        queues.add(router.add_event(0.0, number % 3, number % destinations, 10**6, ordering_key=0), 0.0)
    while now < 1000.0 * seconds:
        now += 5.0
        while in_flight and in_flight[0][0] <= now:
            _, event = in_flight.pop(0)
            router.record_outcome(event, SendOutcome.ACKED, now, latency, is_event_finished=True)
            queues.wake(event.destination)
            queues.remove(event)
        for event, decision in queues.run_cycle(now):
            decided_count += 1
            if isinstance(decision, Send):
                in_flight.append((now + latency, event))
    return counted.decide_count, decided_count


@pytest.mark.parametrize("destinations, rate", [(1, 100.0), (1, 0.0), (90, 5.0)])
def test_decide_calls_per_decided_event_do_not_grow_with_the_queue(destinations, rate):
    decide_calls_per_event = []
    for pending_count in (100, 1000, 10_000):
        stream_types = [stream_type._replace(max_age_ms=10.0**6) for stream_type in STREAM_TYPES]
        decide_count, decided_count = simulate_acks(
            make_router(destinations, rate, stream_types=stream_types, max_calls_in_flight=16),
            pending_count,
            destinations=destinations,
        )
        assert decided_count > 60
        decide_calls_per_event.append(decide_count / decided_count)
    assert decide_calls_per_event[2] < 1.3 * decide_calls_per_event[1] and decide_calls_per_event[2] < 6.0, (
        decide_calls_per_event
    )


def test_events_waiting_for_a_retry_after_are_decided_only_after_it_ends():
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
    counted.decide_count = 0
    for now in range(10, 1500, 5):
        assert queues.run_cycle(float(now)) == []
    assert counted.decide_count <= 2
    decided_at = [at for now in range(1500, 4000, 5) for at in [now] * len(queues.run_cycle(float(now)))]
    assert decided_at and decided_at[0] >= 1505 and counted.decide_count < 4 * len(decided_at) + 10


def test_every_event_is_decided_by_its_deadline_whatever_it_waits_for():
    router = make_router(rate=1.0, max_calls_in_flight=1)
    queues, decided_at, expires_at = PendingQueues(router), {}, {}
    for number in range(40):
        event = router.add_event(0.0, number % 4, 0, 500.0 + 10.0 * number, ordering_key=number % 3 + 1)
        expires_at[event] = event.expires_at
        queues.add(event, 0.0)
    for now in range(0, 1000, 5):
        for event, decision in queues.run_cycle(float(now)):
            if not isinstance(decision, Send):
                decided_at[event] = float(now)
                queues.remove(event)
    assert len(decided_at) >= 37 and len(queues) == 0
    assert all(expires_at[event] - 40.0 <= at <= expires_at[event] for event, at in decided_at.items())
    assert queues.event_timers.deadlines == {}
    assert queues.groups == {} and queues.groups_by_destination == {}


def test_events_of_an_ordering_key_are_sent_one_at_a_time_in_order():
    router = make_router(rate=0.0, max_calls_in_flight=10)
    queues, sent_indexes = PendingQueues(router), []
    events = [router.add_event(0.0, 3, 0, 7000.0, ordering_key=7) for _ in range(5)]
    for event in reversed(events):
        queues.add(event, 0.0)
    for now in range(0, 200, 5):
        for event, _ in queues.run_cycle(float(now)):
            sent_indexes.append(events.index(event))
            router.record_outcome(event, SendOutcome.ACKED, now + 1.0, 1.0, is_event_finished=True)
            queues.wake(event.destination)
            queues.remove(event)
    assert sent_indexes == [0, 1, 2, 3, 4]


def test_least_urgent_events_are_rejected_over_capacity():
    router = make_router(2, rate=1.0, max_calls_in_flight=4, max_pending_events=50)
    queues = PendingQueues(router)
    router.add_event(0.0, 0, 1, 6000.0)  # another queue, which is short
    events = [router.add_event(0.0, number % 2, 0, 3000.0 + 50.0 * number) for number in range(60)]
    horizon_ms = router.ranking_horizon_ms(events[0].destination, 0.0)
    order = sorted(events, key=lambda event: router.urgency_rank(event, horizon_ms, 0.0))
    for event in events:
        queues.add(event, 0.0)
    rejected = {event for event, decision in queues.run_cycle(0.0) if isinstance(decision, Reject)}
    assert rejected == set(order[-15:]) and not router.is_over_capacity()


class QueuedEvent(NamedTuple):
    """The decision on one event in a cycle, in a form that can be compared between a router and its copy."""

    handle: int
    decision_type: type
    endpoint_id: str | None

    @classmethod
    def of(cls, event, decision):
        endpoint_id = decision.endpoint.endpoint_id if isinstance(decision, Send) else None
        return cls(event.handle, type(decision), endpoint_id)


class NaiveQueue:
    """Asks the router about every event in each cycle: first those at their deadline, then by urgency."""

    def __init__(self, router, events):
        self.router = router
        self.events = set(events)

    def run_cycle(self, now):
        ending = [event for event in self.events if now >= self.router.give_up_at(event, now)]
        decided = self._decide(ending, now)
        others = self.router.sort_by_urgency(self.events - set(ending), now)
        return decided + self._decide(others, now)

    def _decide(self, events, now):
        decisions = [(event, self.router.decide(event, now)) for event in events]
        return [
            QueuedEvent.of(event, decision)
            for event, decision in decisions
            if not isinstance(decision, Defer)
        ]


class RandomRun:
    """Random events and outcomes; in some cycles a copy of the router decides every event for comparison."""

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
        self.in_flight = []  # (time of the outcome in ms, event, outcome)
        self.next_handle = count()
        self.decided_count = self.compared_count = 0

    def run(self):
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
            has_retry_after = outcome == SendOutcome.RATE_LIMITED and self.random.random() < 0.5
            decision = self.router.record_outcome(
                event,
                outcome,
                now,
                20.0,
                retry_after_ms=300.0 if has_retry_after else 0.0,
                is_event_finished=outcome == SendOutcome.ACKED,
            )
            self.queues.wake(event.destination)
            if isinstance(decision, Defer):
                self._add(event, now)
            else:
                self.queues.remove(event)

    def _submit(self, now):
        stream_type_number = self.random.randrange(4)
        event = self.router.add_event(
            now,
            stream_type_number,
            self.random.randrange(4),
            self.random.uniform(800.0, STREAM_TYPES[stream_type_number].max_age_ms),
            ordering_key=self.random.randrange(1, 9),
        )
        event.handle = next(self.next_handle)
        self._add(event, now)

    def _add(self, event, now):
        self.pending[event] = True
        self.queues.add(event, now)

    def _run_cycle(self, now):
        expected = None
        if self.random.random() < 0.4:
            expected = NaiveQueue(*copy.deepcopy((self.router, list(self.pending)))).run_cycle(now)
        decisions = self.queues.run_cycle(now)
        decided = [QueuedEvent.of(event, decision) for event, decision in decisions]
        self.decided_count += len(decided)
        # Not compared while slots are scarce: a send to one destination can lift the limit that holds another
        # one to its share of the slots, which the queues notice only at the next outcome.
        if expected is not None and not self.router.slots_are_scarce() and not self.queues.waiting_for_slot:
            assert sorted(decided, key=str) == sorted(expected, key=str), (now, decided, expected)
            self.compared_count += len(expected)
        for event, decision in decisions:
            del self.pending[event]
            if isinstance(decision, Send):
                self._put_in_flight(event, now)
            else:
                self.queues.remove(event)

    def _put_in_flight(self, event, now):
        outcomes = [SendOutcome.ACKED, SendOutcome.RATE_LIMITED, SendOutcome.TIMED_OUT]
        [outcome] = self.random.choices(outcomes, [8, 1, 1])
        self.in_flight.append((now + self.random.uniform(5.0, 60.0), event, outcome))


@pytest.mark.parametrize("seed", range(8))
def test_decisions_equal_those_of_asking_about_every_event(seed, monkeypatch):
    monkeypatch.setattr(queue_group, "RESORT_INTERVAL_MS", -1.0)
    monkeypatch.setattr(queue_group, "RESORT_INTERVAL_PER_ENTRY_MS", 0.0)
    # The end of an ejection makes no group ready, while `NaiveQueue` would notice it: no ejections here.
    monkeypatch.setattr(health, "STREAM_TYPE_EJECTION_MS", 0.0)
    random_run = RandomRun(seed)
    random_run.run()
    assert (
        random_run.decided_count > 150
        and random_run.compared_count > 5
        and len(random_run.queues) == len(random_run.pending)
    )
    timers = random_run.queues.event_timers
    due_times = {timer: at for at, _, timer in timers.heap}
    assert all(math.isfinite(due_times[timer]) for timer in timers.deadlines.values())


def test_timers_of_removed_events_are_freed():
    """Events have a long max age, and there are many outcomes: the heaps stay small while few events wait."""
    stream_types = [stream_type._replace(max_age_ms=10.0**6) for stream_type in STREAM_TYPES]
    router = make_router(3, rate=0.0, max_calls_in_flight=4, stream_types=stream_types)
    queues, now, in_flight = PendingQueues(router), 0.0, []
    for number in range(4000):
        now += 2.0
        queues.add(router.add_event(now, number % 3, number % 3, 10.0**6), now)
        for event in in_flight:
            router.record_outcome(event, SendOutcome.ACKED, now, 2.0, is_event_finished=True)
            queues.wake(event.destination)
            queues.remove(event)
        in_flight = [event for event, decision in queues.run_cycle(now) if isinstance(decision, Send)]
    assert len(queues) < 10
    assert len(queues.event_timers.heap) < 200 and len(queues.group_timers.heap) < 60
    assert len(queues.event_timers.deadlines) == len(queues)


def test_event_behind_one_that_cannot_join_a_call_still_joins_it():
    router = make_router(
        rate=4.0,
        endpoints=1,
        batch_size_by_kind=[5],
        stream_types=[StreamType(1500.0, 10000.0, effect=Effect.IDEMPOTENT)],
    )
    queues = PendingQueues(router)
    first, short, last = events = [
        router.add_event(0.0, 0, 0, remaining_ms) for remaining_ms in (9000.0, 500.0, 10000.0)
    ]
    assert sorted(events, key=lambda event: router.urgency_rank(event, 1000.0, 0.0)) == events
    for event in events:
        queues.add(event, 0.0)
    assert [event for event, _ in queues.run_cycle(0.0)] == [first, last] and short in queues.group_of


def test_requeued_event_that_was_sent_out_of_order_is_decided_once():
    """Such an event had two entries in its group and was rejected through both, which aborted the cycle."""
    router = make_router(
        2,
        rate=4.0,
        endpoints=1,
        batch_size_by_kind=[5],
        stream_types=[StreamType(1500.0, 10000.0, effect=Effect.IDEMPOTENT)],
    )
    queues = PendingQueues(router)
    router.add_event(0.0, 0, 1, 9000.0)  # another queue, which is short
    first, short, last = events = [
        router.add_event(0.0, 0, 0, remaining_ms) for remaining_ms in (9000.0, 500.0, 10000.0)
    ]
    for event in events:
        queues.add(event, 0.0)
    assert [event for event, _ in queues.run_cycle(0.0)] == [first, last]
    for event in (first, last):
        router.record_outcome(event, SendOutcome.RATE_LIMITED, 50.0, 50.0)
        queues.add(event, 50.0)
    router.pending.capacity = 1
    decided = [event for event, _ in queues.run_cycle(60.0)]
    assert len(decided) == len(set(decided)) == 2 and len(queues) == 1
    groups = queues.groups.values()
    assert sum(group.is_current(entry) for group in groups for entry in group.entries) == 1
    assert sum(len(group) for group in groups) == 1
