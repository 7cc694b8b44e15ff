"""How much comes in: no more than goes out while turns come late; else all there is."""

import math

import pytest

from swiftthread.service.admission import LEAST, AdmissionController


def taken(intake, wanted):
    return sum(intake.try_admit() for _ in range(wanted))


@pytest.mark.parametrize(
    "late, moved, expected",
    [
        (0.0, 0, 1000),
        (4.9, 0, 1000),
        (5.2, 0, LEAST),
        (5.2, 3, LEAST),
        (5.2, 64, 57),
        (80.0, 64, 57),
        (80.0, 2000, 1000),
    ],
)
def test_requests_read_in_a_turn(late, moved, expected):
    intake = AdmissionController(5.0)
    for _ in range(60):
        intake.record_tick(late, moved)
    assert taken(intake, 1000) == expected


def test_one_late_turn_shuts_nobody_out_and_one_light_one_lets_no_crowd_in():
    intake = AdmissionController(5.0)
    intake.record_tick(40.0, 20)
    assert intake.remaining == math.inf
    for _ in range(20):
        intake.record_tick(40.0, 20)
    assert taken(intake, 1000) == 18 and not intake.try_admit()
    intake.record_tick(0.0, 20)
    assert intake.remaining < math.inf
    for _ in range(20):
        intake.record_tick(0.0, 20)
    assert intake.remaining == math.inf


def test_in_and_out_balance_whatever_is_offered():
    """A core that does 100 things a turn, hand-ins first; a hand-in costs 1, a send 2.

    Ten times as much is offered.
    """
    intake, held, acked = AdmissionController(5.0), 0, 0
    for _ in range(60):
        intake.record_tick(50.0, 64)
    for _ in range(500):
        came = taken(intake, 1000)
        moved = min(held + came, 64)
        held += came - moved
        acked += moved
        intake.record_tick(
            max(0.0, came + 2 * moved - 100) * 0.05 + 5.1, moved
        )  # with so much offered it is never idle
    assert held <= 64 and acked > 500 * LEAST
