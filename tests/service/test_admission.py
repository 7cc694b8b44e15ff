"""While scheduling cycles are delayed, no more requests are read than events decided; otherwise all are."""

import math

import pytest

from swiftthread.service.admission import MIN_REQUESTS_PER_CYCLE, AdmissionController


def count_admitted(controller, offered_count):
    return sum(controller.try_admit() for _ in range(offered_count))


@pytest.mark.parametrize(
    "delay_ms, decided_count, expected",
    [
        (0.0, 0, 1000),
        (4.9, 0, 1000),
        (5.2, 0, MIN_REQUESTS_PER_CYCLE),
        (5.2, 3, MIN_REQUESTS_PER_CYCLE),
        (5.2, 64, 57),
        (80.0, 64, 57),
        (80.0, 2000, 1000),
    ],
)
def test_requests_read_per_cycle_for_a_delay(delay_ms, decided_count, expected):
    controller = AdmissionController(5.0)
    for _ in range(60):
        controller.record_cycle(delay_ms, decided_count)
    assert count_admitted(controller, 1000) == expected


def test_single_cycle_neither_starts_nor_ends_load_shedding():
    controller = AdmissionController(5.0)
    controller.record_cycle(40.0, 20)
    assert controller.remaining_requests == math.inf
    for _ in range(20):
        controller.record_cycle(40.0, 20)
    assert count_admitted(controller, 1000) == 18 and not controller.try_admit()
    controller.record_cycle(0.0, 20)
    assert controller.remaining_requests < math.inf
    for _ in range(20):
        controller.record_cycle(0.0, 20)
    assert controller.remaining_requests == math.inf


def test_admitted_events_balance_decided_ones_at_tenfold_load():
    """The CPU core has 100 units of work per scheduling cycle, spent on submissions first.

    A submission costs 1 unit, a send 2. The load offered is ten times what the core can do.
    """
    controller, pending_count, acked_count = AdmissionController(5.0), 0, 0
    for _ in range(60):
        controller.record_cycle(50.0, 64)
    for _ in range(500):
        admitted_count = count_admitted(controller, 1000)
        decided_count = min(pending_count + admitted_count, 64)
        pending_count += admitted_count - decided_count
        acked_count += decided_count
        # Even the cheapest cycle is delayed by 5.1 ms, because the core is never idle at this load.
        controller.record_cycle(
            max(0.0, admitted_count + 2 * decided_count - 100) * 0.05 + 5.1, decided_count
        )
    assert pending_count <= 64 and acked_count > 500 * MIN_REQUESTS_PER_CYCLE


def test_a_request_that_turned_out_incomplete_leaves_its_place_to_another():
    """Clients that stop half way used up what an overloaded node reads, and others got no answer."""
    controller = AdmissionController(5.0)
    for _ in range(60):
        controller.record_cycle(80.0, 0)
    assert count_admitted(controller, 1000) == MIN_REQUESTS_PER_CYCLE
    controller.return_unused()
    assert count_admitted(controller, 1000) == 1
