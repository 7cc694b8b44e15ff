"""The model of a receiver: against queueing theory, its failures, and the same events for the same seed."""

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

WITHIN = 0.03  # of the theory's figure
REFUSE_CONNECTIONS = Fault(FaultKind.REFUSE_CONNECTIONS)
HEAL = Fault(FaultKind.HEAL)


def build_receiver(rng, *, workers=1, queue=10**9, kind="exponential", mean=10.0, rate=0.0, cold=1.0, **more):
    """A model of one endpoint, and that endpoint; `more` goes to its destination's rate limit."""
    destination = Destination(1, RateLimit(rate, **more), cold, 1000.0)
    receivers = ReceiverModel(rng)
    endpoint = Endpoint(
        name="d1-0",
        destination=destination,
        zone="east",
        workers=workers,
        queue_capacity=queue,
        max_connections=10**9,
        draw_service_ms=service_time_sampler(kind, mean, 1.0, rng),
        mean_service_ms=mean,
    )
    return receivers, receivers.add(endpoint)


def waits_at(load, calls, seed=20, **more):
    """(mean wait before service in ms, share rejected) with Poisson arrivals at so much load a worker."""
    rng = random.Random(seed)
    receivers, endpoint = build_receiver(rng, **more)
    gap = endpoint.mean_service_ms / load / endpoint.workers
    now, stay, ended, rejected, begun = 0.0, 0.0, 0, 0, 0
    for number in range(calls):
        now += rng.expovariate(1.0 / gap)
        for _ in receivers.advance(now):
            ended += 1
        in_system = endpoint.busy_workers + len(endpoint.queue)
        stay += max(0, in_system - endpoint.workers)  # PASTA: arrivals see the time average of the queue
        begun += 1
        _, answer = receivers.arrive(now, endpoint, number)
        rejected += answer is not None
    return stay / begun * gap, rejected / begun  # Little: mean queue = arrivals x mean wait


def erlang_b(workers, offered):
    blocked = 1.0
    for n in range(1, workers + 1):
        blocked = offered * blocked / (n + offered * blocked)
    return blocked


def erlang_c(workers, offered):
    blocked = erlang_b(workers, offered)
    return workers * blocked / (workers - offered * (1 - blocked))


def test_one_worker_waits_as_theory_says():
    wait, _ = waits_at(0.6, 400_000)
    assert wait == pytest.approx(0.6 / (1 - 0.6) * 10.0, rel=WITHIN)


def test_many_workers_wait_as_theory_says():
    wait, _ = waits_at(0.65, 500_000, workers=4)
    offered = 2.6
    assert wait == pytest.approx(erlang_c(4, offered) * 10.0 / (4 - offered), rel=WITHIN)


def test_fixed_service_waits_half_as_long():
    wait, _ = waits_at(0.6, 300_000, kind="fixed")
    assert wait == pytest.approx(0.6 / (2 * (1 - 0.6)) * 10.0, rel=WITHIN)


def test_loss_without_a_queue_is_erlangs():
    _, rejected = waits_at(0.9, 200_000, workers=5, queue=0)
    assert rejected == pytest.approx(erlang_b(5, 4.5), rel=WITHIN)


def test_lognormal_service_has_its_mean_and_spread():
    draw = service_time_sampler("lognormal", 20.0, 1.4, random.Random(3))
    values = [draw() for _ in range(200_000)]
    mean = sum(values) / len(values)
    cv = math.sqrt(sum((v - mean) ** 2 for v in values) / len(values)) / mean
    assert mean == pytest.approx(20.0, rel=WITHIN) and cv == pytest.approx(1.4, rel=2 * WITHIN)


def outcomes_at(receivers, endpoint, moments):
    rows = []
    for number, at in enumerate(moments):
        receivers.advance(at)
        _, answer = receivers.arrive(at, endpoint, number)
        rows.append((answer.outcome, answer.retry_after_ms) if answer else ("in", 0.0))
    return rows


def test_a_paced_limit_sends_an_exact_retry_after():
    receivers, endpoint = build_receiver(random.Random(1), workers=50, rate=10.0, burst=1)
    assert outcomes_at(receivers, endpoint, [0.0, 40.0, 99.0]) == [("in", 0.0), ("full", 60.0), ("full", 1.0)]
    assert outcomes_at(receivers, endpoint, [100.0]) == [("in", 0.0)]


def test_rejections_may_count_against_the_rate_limit():
    kept, used = (
        build_receiver(random.Random(1), workers=50, rate=10.0, window_ms=1000.0, counts_rejections=use)
        for use in (False, True)
    )
    moments = [float(at) for at in range(0, 1000, 50)]
    for receivers, endpoint in (kept, used):
        outcomes = Counter(outcome for outcome, _ in outcomes_at(receivers, endpoint, moments))
        assert outcomes == {"in": 10, "full": 10}
    smooth_kept, smooth_used = (
        build_receiver(random.Random(1), workers=50, rate=10.0, counts_rejections=use)
        for use in (False, True)
    )
    counts = [
        sum(outcome == "in" for outcome, _ in outcomes_at(*pair, [float(at) for at in range(0, 5000, 50)]))
        for pair in (smooth_kept, smooth_used)
    ]
    assert counts[0] == 51 and counts[1] < 10


def test_retry_after_of_a_window_ends_with_it():
    receivers, endpoint = build_receiver(random.Random(1), workers=50, rate=2.0, window_ms=1000.0)
    assert outcomes_at(receivers, endpoint, [0.0, 1.0, 400.0, 1000.0])[2:] == [("full", 600.0), ("in", 0.0)]


def test_a_full_queue_rejects():
    receivers, endpoint = build_receiver(random.Random(1), queue=2, kind="fixed")
    assert [outcome for outcome, _ in outcomes_at(receivers, endpoint, [0.0, 1.0, 2.0, 3.0])] == [
        "in",
        "in",
        "in",
        "shut",
    ]


def test_a_pause_delays_every_completion_and_keeps_their_order():
    receivers, endpoint = build_receiver(random.Random(1), workers=2, kind="fixed")
    first, _ = receivers.arrive(0.0, endpoint, 1)
    second, _ = receivers.arrive(4.0, endpoint, 2)
    receivers.apply(5.0, Fault(FaultKind.PAUSE, duration_ms=100.0), [endpoint])
    third, _ = receivers.arrive(6.0, endpoint, 3)
    assert receivers.advance(109.9) == []
    assert [(a.call.tag, a.outcome) for a in receivers.advance(200.0)] == [
        (1, "done"),
        (2, "done"),
        (3, "done"),
    ]
    assert endpoint.busy_workers == 0 and receivers.next_completion_at() == math.inf


def test_a_crash_resets_calls_in_flight_and_none_completes_later():
    receivers, endpoint = build_receiver(random.Random(1), kind="fixed")
    for tag in (1, 2, 3):
        receivers.arrive(0.0, endpoint, tag)
    answers = receivers.apply(5.0, REFUSE_CONNECTIONS, [endpoint])
    assert [(a.call.tag, a.outcome) for a in answers] == [
        (1, "reset"),
        (2, "reset"),
        (3, "reset"),
    ]
    assert not receivers.open_connection(endpoint)
    receivers.apply(50.0, HEAL, [endpoint])
    assert (
        receivers.advance(500.0) == [] and receivers.open_connection(endpoint) and endpoint.busy_workers == 0
    )


def test_warm_up_after_recovery_and_overload():
    events = []
    receivers, endpoint = build_receiver(random.Random(1), workers=50, kind="fixed", rate=20.0, cold=0.2)
    receivers.observe = events.append
    destination = endpoint.destination
    destination.overload_multiple = 2.0
    destination.overload_window_ms = 500.0
    receivers.apply(0.0, REFUSE_CONNECTIONS, [endpoint])
    receivers.apply(1000.0, HEAL, [endpoint])
    assert destination.warmth(1000.0) == pytest.approx(0.2)
    assert destination.warmth(1500.0) == pytest.approx(0.6)
    outcomes = [
        outcome for outcome, _ in outcomes_at(receivers, endpoint, [1000.0 + 5.0 * n for n in range(30)])
    ]
    changes = [event.change for event in events if isinstance(event, DestinationAvailabilityChanged)]
    assert changes == [DestinationChange.RECOVERED, DestinationChange.OVERLOADED]
    assert outcomes[-1] == "reset" and endpoint.is_crashed
    overloaded = next(
        index
        for index, event in enumerate(events)
        if isinstance(event, DestinationAvailabilityChanged) and event.change == DestinationChange.OVERLOADED
    )
    assert 8 <= sum(isinstance(event, CallArrived) for event in events[:overloaded]) <= 20


def test_a_destination_that_rejected_every_call_recovers_when_that_ends():
    receivers, endpoint = build_receiver(random.Random(1), workers=50, kind="fixed", rate=20.0, cold=0.2)
    events = []
    receivers.observe = events.append
    unavailable = Fault(FaultKind.DESTINATION_UNAVAILABLE, duration_ms=1000.0)
    receivers.apply(5000.0, unavailable, [endpoint])
    assert receivers.arrive(5900.0, endpoint, 1).answer.outcome == CallOutcome.RATE_LIMITED
    assert endpoint.destination.warmth(5900.0) == 1.0
    assert receivers.arrive(6500.0, endpoint, 2).answer is None
    assert endpoint.destination.warmth(6500.0) == pytest.approx(0.2 + 0.8 * 0.5)
    changes = [
        (event.at, event.change) for event in events if isinstance(event, DestinationAvailabilityChanged)
    ]
    assert changes == [(5000.0, DestinationChange.DOWN), (6000.0, DestinationChange.RECOVERED)]


def test_no_overload_within_the_budget_nor_once_warm():
    receivers, endpoint = build_receiver(random.Random(1), workers=50, kind="fixed", rate=20.0, cold=0.2)
    endpoint.destination.overload_multiple = 2.0
    endpoint.destination.overload_window_ms = 500.0
    receivers.apply(0.0, REFUSE_CONNECTIONS, [endpoint])
    receivers.apply(1000.0, HEAL, [endpoint])
    outcomes_at(receivers, endpoint, [1000.0 + 100.0 * n for n in range(10)])
    outcomes_at(receivers, endpoint, [2001.0 + n for n in range(200)])
    assert not endpoint.destination.is_overloaded and not endpoint.is_crashed


def test_the_connection_table_has_a_bound():
    receivers, endpoint = build_receiver(random.Random(1))
    endpoint.max_connections = 2
    assert [receivers.open_connection(endpoint) for _ in range(3)] == [True, True, False]
    receivers.close_connection(endpoint)
    assert receivers.open_connection(endpoint)


@pytest.mark.parametrize("kind", sorted(set(FaultKind) - SOCKET_FAULTS))
def test_every_fault_that_is_not_one_of_the_sockets_can_be_applied_and_healed(kind):
    receivers, endpoint = build_receiver(random.Random(1), kind="fixed", rate=100.0)
    receivers.apply(0.0, Fault(kind, factor=0.5, duration_ms=100.0), [endpoint])
    receivers.apply(200.0, Fault(FaultKind.JOIN), [endpoint])
    receivers.apply(200.0, HEAL, [endpoint])
    assert outcomes_at(receivers, endpoint, [1000.0]) == [("in", 0.0)]


@pytest.mark.parametrize("kind", sorted(SOCKET_FAULTS))
def test_faults_of_the_sockets_are_none_of_the_model(kind):
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
                FaultKind.GO_SILENT,
                FaultKind.ERRORS,
                FaultKind.SLOW_DOWN,
                FaultKind.WITHHOLD_RESPONSES,
            ]
        )
        receivers.apply(now, Fault(kind, share=0.4, factor=3.0), endpoints[:2])
    if number % 500 == 300:
        receivers.apply(now, Fault(FaultKind.HEAL), endpoints)
        receivers.apply(now, Fault(FaultKind.PAUSE, duration_ms=300.0), endpoints[2:3])
    receivers.arrive(now, rng.choice(endpoints), number)
sys.stdout.write(json.dumps([[type(event).__name__, *event] for event in events]))
"""


def test_the_same_seed_gives_the_same_events_byte_by_byte():
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
