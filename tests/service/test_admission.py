"""Load shedding: while scheduling cycles come late, no more is admitted than leaves; else all there is."""

import math

import pytest

from swiftthread.service.admission import MIN_REQUESTS_PER_CYCLE, AdmissionController


def count_admitted(controller, wanted):
    return sum(controller.try_admit() for _ in range(wanted))


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
def test_requests_read_in_a_tick(delay_ms, decided_count, expected):
    controller = AdmissionController(5.0)
    for _ in range(60):
        controller.record_cycle(delay_ms, decided_count)
    assert count_admitted(controller, 1000) == expected


def test_one_late_tick_sheds_no_load_and_one_light_one_lets_no_crowd_in():
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


def test_in_and_out_balance_whatever_is_offered():
    """A core that does 100 things a scheduling cycle, submissions first; a submission costs 1, a send 2.

    Ten times as much is offered.
    """
    controller, held, acked = AdmissionController(5.0), 0, 0
    for _ in range(60):
        controller.record_cycle(50.0, 64)
    for _ in range(500):
        came = count_admitted(controller, 1000)
        moved = min(held + came, 64)
        held += came - moved
        acked += moved
        controller.record_cycle(
            max(0.0, came + 2 * moved - 100) * 0.05 + 5.1, moved
        )  # with so much offered it is never idle
    assert held <= 64 and acked > 500 * MIN_REQUESTS_PER_CYCLE
