"""Events wait until discovery confirms a cached endpoint list, as far as their time allows."""

import pytest
from support.stream_types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT

from swiftthread.routing.messages import Defer, Send, SendOutcome
from swiftthread.routing.router import Router
from swiftthread.routing.settings import Settings
from swiftthread.service.pending_queues import PendingQueues

ORDERED = IDEMPOTENT._replace(is_ordered=True)
STREAM_TYPES = [IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT, ORDERED]
ENTRIES = [("a", 0, 0, 0, 0.0, True)]
TIME_LEFT_MS = 6000.0
FINAL_OUTCOME_MARGIN_MS = 12.0
GIVE_UP_AT = TIME_LEFT_MS - FINAL_OUTCOME_MARGIN_MS


def router_with_cached_list(listed_rate=0.0, **settings):
    """Return a router that has a cached list with one endpoint at 0 ms."""
    router = Router(Settings(stream_types=STREAM_TYPES, **settings), 7)
    router.apply_cached_endpoint_list([("a", 0, 0, 0, listed_rate, True)], 0.0)
    return router


def sent_at(router, arrivals):
    """Queue events, given as (time, event), ack each attempt 20 ms later, and return when each was sent."""
    queues, times, in_flight = PendingQueues(router), {}, []
    for now in range(0, int(max(event.expires_at for _, event in arrivals)), 5):
        for event in [event for sent, event in in_flight if now >= sent + 20]:
            in_flight.remove((times[event], event))
            router.record_outcome(event, SendOutcome.ACKED, now, 20.0, is_event_finished=True)
            queues.wake(event.destination)
        for event in [event for at, event in arrivals if at == now]:
            queues.add(event, float(now))
        for event, decision in queues.run_cycle(float(now)):
            if isinstance(decision, Send):
                times[event] = float(now)
                in_flight.append((times[event], event))
    return [times.get(event) for _, event in arrivals]


@pytest.mark.parametrize("stream_type_number", [0, 1, 2])
def test_an_event_waits_for_the_first_list_from_discovery(stream_type_number):
    router = router_with_cached_list()
    event = router.add_event(0.0, stream_type_number, 0, TIME_LEFT_MS)
    assert isinstance(router.decide(event, 0.0), Defer)
    assert isinstance(router.decide(event, 2000.0), Defer)
    # The address of "a" belongs to another destination's endpoint meanwhile.
    router.apply_endpoint_list([("b", 0, 0, 0, 0.0, True), ("c", 1, 0, 0, 0.0, True)], True, 2000.0)
    assert router.decide(event, 2000.0).endpoint.endpoint_id == "b"


def test_a_change_without_entries_confirms_the_cached_list():
    router = router_with_cached_list()
    event = router.add_event(0.0, 0, 0, TIME_LEFT_MS)
    assert isinstance(router.decide(event, 0.0), Defer)
    router.apply_endpoint_list([], False, 10.0)
    assert router.decide(event, 10.0).endpoint.endpoint_id == "a"


def test_without_an_answer_an_event_is_sent_in_the_last_second_of_its_time():
    router = router_with_cached_list()
    event = router.add_event(0.0, 0, 0, TIME_LEFT_MS)
    assert isinstance(router.decide(event, GIVE_UP_AT - 1001.0), Defer)
    assert router.next_check(event, GIVE_UP_AT - 1001.0).at == GIVE_UP_AT - 1000.0
    assert router.decide(event, GIVE_UP_AT - 1000.0).endpoint.endpoint_id == "a"


def test_an_event_waits_for_a_fifth_of_its_time_whatever_the_length_of_its_queue():
    router = router_with_cached_list(listed_rate=1.0, listed_rates="nominal")
    events = [router.add_event(0.0, 0, 0, TIME_LEFT_MS) for _ in range(20)]
    assert isinstance(router.decide(events[0], GIVE_UP_AT / 5 - 1.0), Defer)
    assert router.decide(events[0], GIVE_UP_AT / 5 + 1.0).endpoint.endpoint_id == "a"


def test_events_of_a_queue_are_sent_early_enough_for_the_rate_of_their_destination():
    """Sent in their last second, four of the six events would end without an attempt."""
    router = router_with_cached_list(listed_rate=2.0, listed_rates="nominal")
    events = [router.add_event(0.0, 0, 0, TIME_LEFT_MS) for _ in range(6)]
    times = sent_at(router, [(0, event) for event in events])
    assert None not in times and min(times) >= GIVE_UP_AT - 3000.0


def test_unpaced_events_are_sent_early_enough_for_the_call_slots_of_the_node():
    """Sent in their last second, two hundred of three hundred events would end without an attempt."""
    router = router_with_cached_list(max_calls_in_flight=2)
    events = [router.add_event(0.0, 0, 0, TIME_LEFT_MS) for _ in range(300)]
    times = sent_at(router, [(0, event) for event in events])
    assert None not in times and min(times) >= GIVE_UP_AT / 5


def test_an_event_with_less_time_is_sent_while_a_more_urgent_one_still_waits():
    router = router_with_cached_list()
    urgent, short = router.add_event(0.0, 1, 0, 9000.0), router.add_event(0.0, 1, 0, 3000.0)
    urgent.priority_weight = 100.0
    urgent_at, short_at = sent_at(router, [(0, urgent), (0, short)])
    assert 1988.0 <= short_at < 2988.0 and urgent_at >= 7988.0


def test_an_ordered_event_waits_no_longer_than_the_events_behind_it_can():
    router = router_with_cached_list()
    first = router.add_event(0.0, 3, 0, 9000.0, ordering_key=5)
    router.add_event(0.0, 3, 0, 3000.0, ordering_key=5)
    assert isinstance(router.decide(first, 1987.0), Defer)
    assert isinstance(router.decide(first, 1988.0), Send)


def test_events_that_arrive_during_the_wait_shorten_it():
    """A queue that has grown needs more time than it did when its first event began to wait."""
    router = router_with_cached_list(listed_rate=2.0, listed_rates="nominal")
    first = router.add_event(0.0, 0, 0, TIME_LEFT_MS)
    later = [router.add_event(1000.0, 0, 0, 4900.0) for _ in range(4)]
    times = sent_at(router, [(0, first), *[(1000, event) for event in later]])
    assert None not in times and 3300.0 < min(times) < 3500.0


def test_an_event_that_waits_again_after_its_queue_has_shrunk_is_not_forgotten_until_its_end():
    """It would be in the queue of events that wait no longer, behind more urgent ones with more time."""
    router = router_with_cached_list(listed_rate=1.0, listed_rates="nominal")
    event, *others = [router.add_event(0.0, 0, 0, TIME_LEFT_MS) for _ in range(9)]
    now = GIVE_UP_AT / 5 + 1.0
    assert not router.queue_key(event, now)[-1] and router.deadline(event, now) <= now + 250.0
    for other in others:
        router.withdraw(other, now)
    assert router.queue_key(event, now)[-1] and isinstance(router.decide(event, now), Defer)
    router.apply_endpoint_list([], False, now)
    assert router.deadline(event, now) == GIVE_UP_AT


def test_a_router_that_never_had_a_cached_list_holds_nothing_back():
    """A call in the simulator names its endpoint by id, so no address can pass to another endpoint."""
    router = Router(Settings(stream_types=STREAM_TYPES), 7)
    router.apply_endpoint_list(ENTRIES, True, 0.0)
    assert isinstance(router.decide(router.add_event(0.0, 0, 0, TIME_LEFT_MS), 0.0), Send)
