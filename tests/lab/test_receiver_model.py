"""Tests the receiver model: waiting times against queueing theory, faults, and reproducible events."""

import hashlib
import json
import math
import random
import subprocess
import sys
from collections import Counter

import pytest

from swiftthread.lab.faults import SOCKET_FAULTS, Fault, FaultKind
from swiftthread.lab.outcomes import CallOutcome, DestinationChange
from swiftthread.lab.rate_limit import RateLimit
from swiftthread.lab.receiver_model import CallArrived, DestinationAvailabilityChanged, ReceiverModel
from swiftthread.lab.receivers import Destination, Endpoint, service_time_sampler

RELATIVE_TOLERANCE = 0.03  # The allowed deviation from the value of queueing theory.
REFUSE_CONNECTIONS = Fault(FaultKind.REFUSE_CONNECTIONS)
HEAL = Fault(FaultKind.HEAL)


def build_receiver(
    rng,
    *,
    workers=1,
    queue_capacity=10**9,
    distribution="exponential",
    mean_ms=10.0,
    rate_per_s=0.0,
    cold_capacity_share=1.0,
    **rate_limit_options,
):
    """Return a receiver model with one endpoint, and that endpoint."""
    destination = Destination(1, RateLimit(rate_per_s, **rate_limit_options), cold_capacity_share, 1000.0)
    receivers = ReceiverModel(rng)
    endpoint = Endpoint(
        name="d1-0",
        destination=destination,
        zone="east",
        workers=workers,
        queue_capacity=queue_capacity,
        max_connections=10**9,
        draw_service_ms=service_time_sampler(distribution, mean_ms, 1.0, rng),
        mean_service_ms=mean_ms,
    )
    return receivers, receivers.add(endpoint)


def simulate_queue(load, calls, seed=20, **options):
    """Return (mean wait before service in ms, rejected share) for Poisson arrivals; `load` is per worker."""
    rng = random.Random(seed)
    receivers, endpoint = build_receiver(rng, **options)
    mean_interval_ms = endpoint.mean_service_ms / load / endpoint.workers
    now, total_queue_length, completed, rejected, arrivals = 0.0, 0.0, 0, 0, 0
    for number in range(calls):
        now += rng.expovariate(1.0 / mean_interval_ms)
        for _ in receivers.advance(now):
            completed += 1
        in_system = endpoint.busy_workers + len(endpoint.queue)
        # PASTA: Poisson arrivals see the time average of the queue length.
        total_queue_length += max(0, in_system - endpoint.workers)
        arrivals += 1
        _, response = receivers.receive_call(now, endpoint, number)
        rejected += response is not None
    # Little's law: the mean queue length is the arrival rate times the mean wait.
    return total_queue_length / arrivals * mean_interval_ms, rejected / arrivals


def erlang_b(workers, offered):
    blocked = 1.0
    for n in range(1, workers + 1):
        blocked = offered * blocked / (n + offered * blocked)
    return blocked


def erlang_c(workers, offered):
    blocked = erlang_b(workers, offered)
    return workers * blocked / (workers - offered * (1 - blocked))


def test_mean_wait_with_one_worker_matches_queueing_theory():
    wait, _ = simulate_queue(0.6, 400_000)
    assert wait == pytest.approx(0.6 / (1 - 0.6) * 10.0, rel=RELATIVE_TOLERANCE)


def test_mean_wait_with_four_workers_matches_queueing_theory():
    wait, _ = simulate_queue(0.65, 500_000, workers=4)
    offered = 2.6
    assert wait == pytest.approx(erlang_c(4, offered) * 10.0 / (4 - offered), rel=RELATIVE_TOLERANCE)


def test_mean_wait_with_fixed_service_times_is_half_of_that_with_exponential_ones():
    wait, _ = simulate_queue(0.6, 300_000, distribution="fixed")
    assert wait == pytest.approx(0.6 / (2 * (1 - 0.6)) * 10.0, rel=RELATIVE_TOLERANCE)


def test_rejected_share_without_a_queue_matches_the_erlang_b_formula():
    _, rejected = simulate_queue(0.9, 200_000, workers=5, queue_capacity=0)
    assert rejected == pytest.approx(erlang_b(5, 4.5), rel=RELATIVE_TOLERANCE)


def test_lognormal_service_times_have_the_given_mean_and_coefficient_of_variation():
    draw = service_time_sampler("lognormal", 20.0, 1.4, random.Random(3))
    values = [draw() for _ in range(200_000)]
    mean = sum(values) / len(values)
    cv = math.sqrt(sum((v - mean) ** 2 for v in values) / len(values)) / mean
    assert mean == pytest.approx(20.0, rel=RELATIVE_TOLERANCE) and cv == pytest.approx(
        1.4, rel=2 * RELATIVE_TOLERANCE
    )


def outcomes_of_calls(receivers, endpoint, arrival_times):
    """Return (outcome, Retry-After in ms) of a call at each time; the outcome of an admitted call is "in"."""
    outcomes = []
    for number, at in enumerate(arrival_times):
        receivers.advance(at)
        _, response = receivers.receive_call(at, endpoint, number)
        outcomes.append((response.outcome, response.retry_after_ms) if response else ("in", 0.0))
    return outcomes


def test_a_paced_limit_sends_an_exact_retry_after():
    receivers, endpoint = build_receiver(random.Random(1), workers=50, rate_per_s=10.0, burst=1)
    assert outcomes_of_calls(receivers, endpoint, [0.0, 40.0, 99.0]) == [
        ("in", 0.0),
        ("full", 60.0),
        ("full", 1.0),
    ]
    assert outcomes_of_calls(receivers, endpoint, [100.0]) == [("in", 0.0)]


def test_rejections_count_against_the_rate_limit_only_if_configured():
    not_counted, counted = (
        build_receiver(
            random.Random(1),
            workers=50,
            rate_per_s=10.0,
            window_ms=1000.0,
            counts_rejections=counts_rejections,
        )
        for counts_rejections in (False, True)
    )
    arrival_times = [float(at) for at in range(0, 1000, 50)]
    for receivers, endpoint in (not_counted, counted):
        outcomes = Counter(outcome for outcome, _ in outcomes_of_calls(receivers, endpoint, arrival_times))
        assert outcomes == {"in": 10, "full": 10}
    paced_not_counted, paced_counted = (
        build_receiver(random.Random(1), workers=50, rate_per_s=10.0, counts_rejections=counts_rejections)
        for counts_rejections in (False, True)
    )
    admitted_counts = [
        sum(
            outcome == "in"
            for outcome, _ in outcomes_of_calls(*pair, [float(at) for at in range(0, 5000, 50)])
        )
        for pair in (paced_not_counted, paced_counted)
    ]
    assert admitted_counts[0] == 51 and admitted_counts[1] < 10


def test_retry_after_of_a_windowed_limit_is_the_rest_of_the_window():
    receivers, endpoint = build_receiver(random.Random(1), workers=50, rate_per_s=2.0, window_ms=1000.0)
    assert outcomes_of_calls(receivers, endpoint, [0.0, 1.0, 400.0, 1000.0])[2:] == [
        ("full", 600.0),
        ("in", 0.0),
    ]


def test_a_call_is_rejected_when_the_queue_is_full():
    receivers, endpoint = build_receiver(random.Random(1), queue_capacity=2, distribution="fixed")
    assert [outcome for outcome, _ in outcomes_of_calls(receivers, endpoint, [0.0, 1.0, 2.0, 3.0])] == [
        "in",
        "in",
        "in",
        "shut",
    ]


def test_a_pause_delays_every_completion_and_preserves_their_order():
    receivers, endpoint = build_receiver(random.Random(1), workers=2, distribution="fixed")
    first, _ = receivers.receive_call(0.0, endpoint, 1)
    second, _ = receivers.receive_call(4.0, endpoint, 2)
    receivers.apply(5.0, Fault(FaultKind.PAUSE, duration_ms=100.0), [endpoint])
    third, _ = receivers.receive_call(6.0, endpoint, 3)
    assert receivers.advance(109.9) == []
    assert [(response.call.tag, response.outcome) for response in receivers.advance(200.0)] == [
        (1, "done"),
        (2, "done"),
        (3, "done"),
    ]
    assert endpoint.busy_workers == 0 and receivers.next_completion_at() == math.inf


def test_a_crash_resets_calls_in_flight_and_none_completes_later():
    receivers, endpoint = build_receiver(random.Random(1), distribution="fixed")
    for tag in (1, 2, 3):
        receivers.receive_call(0.0, endpoint, tag)
    responses = receivers.apply(5.0, REFUSE_CONNECTIONS, [endpoint])
    assert [(response.call.tag, response.outcome) for response in responses] == [
        (1, "reset"),
        (2, "reset"),
        (3, "reset"),
    ]
    assert not receivers.open_connection(endpoint)
    receivers.apply(50.0, HEAL, [endpoint])
    assert (
        receivers.advance(500.0) == [] and receivers.open_connection(endpoint) and endpoint.busy_workers == 0
    )


def test_a_recovered_destination_warms_up_and_crashes_when_overloaded():
    events = []
    receivers, endpoint = build_receiver(
        random.Random(1), workers=50, distribution="fixed", rate_per_s=20.0, cold_capacity_share=0.2
    )
    receivers.observe = events.append
    destination = endpoint.destination
    destination.overload_multiple = 2.0
    destination.overload_window_ms = 500.0
    receivers.apply(0.0, REFUSE_CONNECTIONS, [endpoint])
    receivers.apply(1000.0, HEAL, [endpoint])
    assert destination.capacity_share(1000.0) == pytest.approx(0.2)
    assert destination.capacity_share(1500.0) == pytest.approx(0.6)
    outcomes = [
        outcome
        for outcome, _ in outcomes_of_calls(receivers, endpoint, [1000.0 + 5.0 * n for n in range(30)])
    ]
    changes = [event.change for event in events if isinstance(event, DestinationAvailabilityChanged)]
    assert changes == [DestinationChange.RECOVERED, DestinationChange.OVERLOADED]
    assert outcomes[-1] == "reset" and endpoint.is_crashed
    overload_index = next(
        index
        for index, event in enumerate(events)
        if isinstance(event, DestinationAvailabilityChanged) and event.change == DestinationChange.OVERLOADED
    )
    assert 8 <= sum(isinstance(event, CallArrived) for event in events[:overload_index]) <= 20


def test_a_destination_that_rejected_all_calls_recovers_when_the_rejection_expires():
    receivers, endpoint = build_receiver(
        random.Random(1), workers=50, distribution="fixed", rate_per_s=20.0, cold_capacity_share=0.2
    )
    events = []
    receivers.observe = events.append
    unavailable = Fault(FaultKind.DESTINATION_UNAVAILABLE, duration_ms=1000.0)
    receivers.apply(5000.0, unavailable, [endpoint])
    assert receivers.receive_call(5900.0, endpoint, 1).response.outcome == CallOutcome.RATE_LIMITED
    assert endpoint.destination.capacity_share(5900.0) == 1.0
    assert receivers.receive_call(6500.0, endpoint, 2).response is None
    assert endpoint.destination.capacity_share(6500.0) == pytest.approx(0.2 + 0.8 * 0.5)
    changes = [
        (event.at, event.change) for event in events if isinstance(event, DestinationAvailabilityChanged)
    ]
    assert changes == [(5000.0, DestinationChange.DOWN), (6000.0, DestinationChange.RECOVERED)]


def test_no_overload_within_the_budget_or_after_the_warm_up():
    receivers, endpoint = build_receiver(
        random.Random(1), workers=50, distribution="fixed", rate_per_s=20.0, cold_capacity_share=0.2
    )
    endpoint.destination.overload_multiple = 2.0
    endpoint.destination.overload_window_ms = 500.0
    receivers.apply(0.0, REFUSE_CONNECTIONS, [endpoint])
    receivers.apply(1000.0, HEAL, [endpoint])
    outcomes_of_calls(receivers, endpoint, [1000.0 + 100.0 * n for n in range(10)])
    outcomes_of_calls(receivers, endpoint, [2001.0 + n for n in range(200)])
    assert not endpoint.destination.is_overloaded and not endpoint.is_crashed


def test_connections_above_the_connection_limit_are_rejected():
    receivers, endpoint = build_receiver(random.Random(1))
    endpoint.max_connections = 2
    assert [receivers.open_connection(endpoint) for _ in range(3)] == [True, True, False]
    receivers.close_connection(endpoint)
    assert receivers.open_connection(endpoint)


@pytest.mark.parametrize("kind", sorted(set(FaultKind) - set(SOCKET_FAULTS)))
def test_every_fault_of_the_model_can_be_applied_and_healed(kind):
    receivers, endpoint = build_receiver(random.Random(1), distribution="fixed", rate_per_s=100.0)
    receivers.apply(0.0, Fault(kind, factor=0.5, duration_ms=100.0), [endpoint])
    receivers.apply(200.0, Fault(FaultKind.JOIN), [endpoint])
    receivers.apply(200.0, HEAL, [endpoint])
    assert outcomes_of_calls(receivers, endpoint, [1000.0]) == [("in", 0.0)]


@pytest.mark.parametrize("kind", sorted(SOCKET_FAULTS))
def test_the_model_raises_an_error_for_socket_faults(kind):
    receivers, endpoint = build_receiver(random.Random(1))
    with pytest.raises(ValueError, match=kind):
        receivers.apply(0.0, Fault(kind), [endpoint])


SEEDED_SCRIPT = """
import json, random, sys
from swiftthread.lab.faults import SOCKET_FAULTS, Fault, FaultKind
from swiftthread.lab.rate_limit import RateLimit
from swiftthread.lab.receiver_model import ReceiverModel
from swiftthread.lab.receivers import Destination, Endpoint, service_time_sampler

rng, events = random.Random(99), []
receivers = ReceiverModel(rng, events.append)
endpoints = []
for number in range(3):
    limit = RateLimit(50.0, 1000.0 * (number == 1), counts_rejections=number == 2)
    destination = Destination(number, limit, 0.2, 900.0, 2.0)
    for at in range(2):
        service = service_time_sampler("lognormal", 20.0, 1.2, rng)
        endpoint = Endpoint(f"d{number}-{at}", destination, "east", 2, 4, 9, service, 20.0)
        endpoints.append(receivers.add(endpoint))
now = 0.0
for number in range(6000):
    now += rng.expovariate(0.2)
    receivers.advance(now)
    if number % 500 == 100:
        kind = rng.choice(
            [
                FaultKind.REFUSE_CONNECTIONS,
                FaultKind.BECOME_UNRESPONSIVE,
                FaultKind.ERRORS,
                FaultKind.SLOW_DOWN,
                FaultKind.WITHHOLD_RESPONSES,
            ]
        )
        receivers.apply(now, Fault(kind, share=0.4, factor=3.0), endpoints[:2])
    if number % 500 == 300:
        receivers.apply(now, Fault(FaultKind.HEAL), endpoints)
        receivers.apply(now, Fault(FaultKind.PAUSE, duration_ms=300.0), endpoints[2:3])
    receivers.receive_call(now, rng.choice(endpoints), number)
sys.stdout.write(json.dumps([[type(event).__name__, *event] for event in events]))
"""


def test_the_same_seed_gives_byte_identical_events():
    runs = [
        subprocess.run(
            [sys.executable, "-c", SEEDED_SCRIPT],
            capture_output=True,
            check=True,
            env={"PYTHONHASHSEED": str(seed), "PYTHONPATH": "."},
        ).stdout
        for seed in (0, 1, 2)
    ]
    assert len({hashlib.sha256(run).hexdigest() for run in runs}) == 1
    kinds = {(event, kind) for event, _, kind, *_ in json.loads(runs[0])}
    assert {"done", "full", "error", "shut", "reset"} <= {
        kind for event, kind in kinds if event == "CallEnded"
    }
    assert {"refuse", "heal"} <= {kind for event, kind in kinds if event == "FaultApplied"}
    assert "CallArrived" in {event for event, _ in kinds}
