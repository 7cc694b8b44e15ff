"""The decisions, one short trace for each failure found and each rule."""

import random
import socket
import sys
from itertools import pairwise

import anyio
import pytest
from support.simulated_node import SimulatedNode
from support.stream_types import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT

from swiftthread.client.discovery_client import DiscoveryClient
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.routing.messages import LoadReport, SendOutcome
from swiftthread.routing.settings import StreamType
from swiftthread.storage.pending_event import PendingEvent
from swiftthread.storage.write_ahead_log import WriteAheadLog

ONE = [(1, 0, 0, 0, 4.0, True)]
TWO = [(1, 0, 0, 0, 4.0, True), (2, 0, 1, 0, 4.0, True)]


def burst(run, tickets, moment=10.0, **event):
    for ticket in tickets:
        run.at(moment, lambda t=ticket: run.take(t, **event))
    return run


def sent(run):
    return [(float(line.split()[0]), int(line.split()[2])) for line in run.lines if " send " in line]


def test_sends_keep_the_emission_interval():
    burst(SimulatedNode(ONE), range(1, 7)).play(3000.0).as_kept("interval")


def test_refusals_halve_and_clean_seconds_lead_back_to_the_even_part():
    def answers(ticket, endpoint, now):
        return (
            (50.0, SendOutcome.RATE_LIMITED)
            if ticket in (3, 4) and now < 2000.0
            else (50.0, SendOutcome.ACKED)
        )

    burst(SimulatedNode(ONE, answers, node_count=2), range(1, 13)).play(9000.0).as_kept("refusals")


def test_a_told_wait_blocks_every_send_to_the_key_and_the_longest_of_a_call_holds():
    def answers(ticket, endpoint, now):
        return (50.0, SendOutcome.RATE_LIMITED, 400.0 * ticket) if now < 100.0 else (50.0, SendOutcome.ACKED)

    run = burst(SimulatedNode(TWO, answers, batch_size_by_kind=[3]), (1, 2, 3))
    burst(run, (4,), 300.0).play(4000.0).as_kept("told_wait")
    assert all(moment >= 1260.0 for moment, _ in sent(run)[3:])


def test_nothing_goes_to_a_draining_endpoint():
    run = burst(SimulatedNode(TWO), range(1, 3))
    first = [
        (endpoint, destination, zone, kind, rate, False) for endpoint, destination, zone, kind, rate, _ in TWO
    ]
    run.at(300.0, run.list, first)
    burst(run, (8,), 400.0).play(20000.0).as_kept("drain")


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("answer", [SendOutcome.ACKED, SendOutcome.TIMED_OUT])
def test_an_endpoint_that_serves_another_destination_now_gets_that_ones_events_alone(whole, answer):
    """Also one that was held to be down, or has a call out."""
    run = SimulatedNode(
        TWO, lambda ticket, endpoint, now: (3000.0, answer) if now < 200.0 else (50.0, SendOutcome.ACKED)
    )
    burst(run, range(1, 5))
    run.at(300.0, run.list, [(1, 5, 0, 0, 4.0, True), (2, 0, 1, 0, 4.0, True)][: 1 + whole], whole)
    burst(run, range(11, 14), 400.0)
    burst(run, range(21, 24), 500.0, destination=5)
    run.play(30000.0)
    goes = [line.split()[2:5:2] for line in run.lines if " send " in line and float(line.split()[0]) > 300.0]
    goes = [(int(ticket), endpoint.strip(",")) for ticket, endpoint in goes]
    assert {endpoint for ticket, endpoint in goes if ticket < 20} == {"2"} and {
        endpoint for ticket, endpoint in goes if ticket > 20
    } == {"1"}
    assert {ticket for ticket, _ in goes} >= {*range(11, 14), *range(21, 24)}


@pytest.mark.parametrize(
    "name, stream, endpoints",
    [
        ("maybe_idempotent", IDEMPOTENT, ONE),
        ("maybe_non_idempotent", NON_IDEMPOTENT, ONE),
        ("maybe_in_group", DEDUPLICATED._replace(deduplication_group="zone"), TWO),
        ("maybe_anywhere", DEDUPLICATED, TWO),
    ],
)
def test_what_follows_a_send_that_may_have_run(name, stream, endpoints):
    def answers(ticket, endpoint, now):
        return (50.0, SendOutcome.RESET) if now < 1000.0 else (50.0, SendOutcome.ACKED)

    burst(SimulatedNode(endpoints, answers, stream_types=[stream]), (1,)).play(20000.0).as_kept(name)


def test_the_window_ends_a_deduplicated_event_that_may_have_run():
    def answers(ticket, endpoint, now):
        return (50.0, SendOutcome.FAILED) if now < 100.0 else (50.0, SendOutcome.RATE_LIMITED, 9000.0)

    streams = [DEDUPLICATED._replace(deduplication_group="zone")]
    burst(SimulatedNode(ONE, answers, stream_types=streams), (1,)).play(20000.0).as_kept("window")


def test_events_of_a_subject_go_one_at_a_time_and_rest_after_a_time_out():
    def answers(ticket, endpoint, now):
        return None if now < 100.0 else (300.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 50.0, True)],
        answers,
        stream_types=[IDEMPOTENT._replace(is_ordered=True)],
        ordering_rest_ms=2500.0,
    )
    burst(run, (1, 2, 3), subject=9)
    burst(run, (4,), 20.0, subject=8).play(9000.0).as_kept("order")


def test_order_waits_for_the_send_of_a_withdrawn_event():
    run = SimulatedNode(
        [(1, 0, 0, 0, 50.0, True)],
        lambda t, s, n: (800.0, SendOutcome.ACKED),
        stream_types=[IDEMPOTENT._replace(is_ordered=True)],
    )
    burst(run, (1, 2), subject=9)
    run.at(100.0, run.withdraw, 1)
    run.play(3000.0).as_kept("order_withdrawn")


def test_a_silent_sink_takes_no_more_slots():
    def answers(ticket, endpoint, now):
        return None if now > 500.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 20.0, True), (2, 1, 0, 0, 20.0, True)],
        lambda t, s, n: answers(t, s, n) if s == 1 else (100.0, SendOutcome.ACKED),
        max_calls_in_flight=8,
    )
    for moment in range(0, 3000, 50):
        run.at(moment + 10.0, run.take, 1000 + moment, 0)
        run.at(moment + 10.0, run.take, 5000 + moment, 1)
    run.play(2500.0)
    assert max(moment for moment, ticket in sent(run) if ticket < 5000) < 1500.0
    assert len([1 for moment, ticket in sent(run) if ticket >= 5000 and moment > 1500.0]) >= 15


@pytest.mark.parametrize("nodes", [2, 12])
def test_trials_of_all_nodes_stay_inside_the_fall_budget(nodes):
    """Twelve nodes that each tried a small destination once a second pushed it over as it came back."""

    def answers(ticket, endpoint, now):
        return (30.0, SendOutcome.UNREACHABLE) if 1000.0 < now < 20000.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode([(1, 0, 0, 0, 4.0, True)], answers, node_count=nodes)
    for moment in range(0, 60000, 500):
        run.at(moment + 10.0, run.take, moment + 1)
    run.play(40000.0)
    trials = [moment for moment, _ in sent(run) if 2000.0 < moment < 20000.0]
    budget = 2.0 * 0.2 * 4.0 * 18.0  # multiple x cold share x rate x seconds
    assert 1 <= len(trials) <= budget / nodes * (1 if nodes == 2 else 4)
    cold = [moment for moment, _ in sent(run) if 20000.0 <= moment < 22000.0]
    assert len(cold) <= 3
    assert len([moment for moment, _ in sent(run) if 32000.0 < moment < 40000.0]) >= 4


def test_a_slow_cold_call_does_not_begin_the_outage_anew():
    def answers(ticket, endpoint, now):
        return (
            (30.0, SendOutcome.UNREACHABLE)
            if 1000.0 < now < 5000.0
            else None
            if ticket == 20
            else (100.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE, answers)
    for ticket in range(1, 40):
        run.at(400.0 * ticket, run.take, ticket)
    run.play(20000.0).as_kept("cold_time_out")


def test_events_share_a_call_and_its_booking():
    burst(SimulatedNode(ONE, batch_size_by_kind=[3], max_calls_in_flight=2), range(1, 8)).play(
        3000.0
    ).as_kept("batch")


def test_a_held_event_is_answered_before_its_max_age():
    run = SimulatedNode(
        [(1, 0, 0, 0, 1.0, True)],
        may_send_retry_after=True,
        max_retry_after_ms=3000.0,
        stream_types=[IDEMPOTENT],
    )
    burst(run, (1, 2, 3, 4), left=2500.0)
    burst(run, (5,), 20.0, destination=3, left=400.0).play(9000.0).as_kept("max_age")


def test_a_route_without_a_fee_is_waited_for_until_that_costs_more():
    routes = [(1, 0, 0, 0, 1.0, True), (2, 0, 1, 0, 1.0, True)]
    run = SimulatedNode(routes, separate_routes_by_kind=[True], carriage_cost_by_zone=[0.05, 0.0])
    burst(run, range(1, 5)).play(6000.0).as_kept("fees")


def test_resets_here_and_there_are_no_outage():
    """A fifth of all calls were reset everywhere; each lone one began an outage and a ramp of ten seconds."""

    def answers(ticket, endpoint, now):
        return (
            (50.0, SendOutcome.RESET)
            if ticket % 4 == 0 and now < 100.0 + 400.0 * ticket
            else (50.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE, answers)
    for ticket in range(1, 24):
        run.at(400.0 * ticket, run.take, ticket)
    run.play(20000.0).as_kept("lone_resets")


def test_a_fall_of_the_told_limit_is_followed_at_once():
    """A limit fell to a seventh; refused calls used it up while the nodes kept to the listed rate."""
    run = SimulatedNode([(1, 0, 0, 0, 20.0, True)], node_count=2)
    node, endpoint = run.session.router, (run.play(1.0), run.session.router.endpoints[1])[1]
    for moment, limit in ((10.0, 20.0), (20.0, 21.0), (30.0, 3.0)):
        node.health.record_call(endpoint, SendOutcome.ACKED, moment, 50.0, LoadReport(0.5, limit))
        run.lines.append(
            f"told {limit}: rate {endpoint.rate_limiter.rate * 1000:.2f}, "
            f"even part {endpoint.rate_limiter.busy_share * 1000:.2f}, "
            f"of all {endpoint.rate_limiter.equal_share * 1000:.2f}"
        )
    run.as_kept("told_limit")


def test_a_wait_and_an_outage_outlast_an_endpoint_that_leaves_the_list_and_returns():
    routes = [(1, 0, 0, 0, 4.0, True)]
    run = burst(
        SimulatedNode(
            routes,
            lambda t, s, n: (
                (50.0, SendOutcome.RATE_LIMITED, 3000.0) if n < 100.0 else (50.0, SendOutcome.ACKED)
            ),
            separate_routes_by_kind=[True],
        ),
        (1,),
    )
    run.at(500.0, run.list, [(1, 0, 0, 0, 4.0, False)])
    run.at(900.0, run.list, routes)
    run.play(6000.0).as_kept("wait_outlasts_list")
    assert sent(run)[1][0] >= 3060.0


def test_an_unlisted_key_is_unpaced_until_its_first_cut_and_never_starts_under_one_a_second():
    def answers(ticket, endpoint, now):
        return (50.0, SendOutcome.RATE_LIMITED) if now < 100.0 and ticket > 4 else (50.0, SendOutcome.ACKED)

    burst(SimulatedNode(ONE, answers, listed_rates="off"), range(1, 9)).play(9000.0).as_kept("unlisted")


def test_connections_are_closed_that_would_idle_out_unused():
    """Hundreds of nodes kept a connection each after one call, and the endpoint's table stayed full."""
    run = SimulatedNode(ONE, keepalive_ms=5000.0)
    for ticket, moment in enumerate((10.0, 12000.0, 12400.0, 12800.0, 13200.0), 1):
        run.at(moment, run.take, ticket)
    run.play(20000.0).as_kept("closes")
    for ticket in range(6, 66):
        run.at(20000.0 + 120.0 * ticket, run.take, ticket)
    run.play(30000.0)
    closed = [float(line.split()[0]) for line in run.lines if "close idle" in line]
    assert max(closed) < 25000.0  # one that is in use for most of the time is kept


def test_a_destination_that_was_shut_is_cold_at_all_its_endpoints():
    """Each node tried one endpoint as the wait ended, and sent its backlog to the other a second later."""

    def answers(ticket, endpoint, now):
        return (30.0, SendOutcome.RATE_LIMITED, 6000.0 - now) if now < 6000.0 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        [(1, 0, 0, 0, 20.0, True), (2, 0, 0, 0, 20.0, True)], answers, node_count=40, batch_size_by_kind=[5]
    )
    for ticket in range(1, 30):
        run.at(200.0 * ticket, run.take, ticket)
    run.play(12000.0).as_kept("shut_everywhere")
    assert len({moment for moment, _ in sent(run) if 6000.0 < moment < 8000.0}) <= 2


def test_a_connect_refused_at_once_is_no_outage_until_it_happens_twice_and_its_connections_close():
    """A full connection table was taken for an outage by nodes that had no other call out."""

    def answers(ticket, endpoint, now):
        return (
            (30.0, SendOutcome.UNREACHABLE)
            if ticket in (1, 3, 4) and now < 5000.0
            else (100.0, SendOutcome.ACKED)
        )

    run = SimulatedNode(ONE, answers, keepalive_ms=5000.0, connect_timeout_ms=1000.0)
    for ticket, moment in enumerate((10.0, 2000.0, 4000.0, 4200.0, 9000.0), 1):
        run.at(moment, run.take, ticket)
    run.play(20000.0).as_kept("table")


def test_two_refusals_over_more_than_two_seconds_mean_shut():
    """Nodes that met a shut destination with two refused calls went on at their rate and pushed it over."""

    def answers(ticket, endpoint, now):
        # Both calls are out before either is refused: after a refusal the next waits for seconds.
        refused_after = {1: 600.0, 2: 2400.0}.get(ticket, 50.0)
        return (
            (refused_after, SendOutcome.RATE_LIMITED, 1386.0) if now < 10000.0 else (100.0, SendOutcome.ACKED)
        )

    def met(seed):
        run = SimulatedNode(ONE, answers, node_count=198)
        run.session.router.random_uniform = random.Random(seed).uniform
        for ticket, moment in enumerate((1000.0, 1100.0, 9000.0), 1):
            run.at(moment, run.take, ticket)
        assert run.play(4000.0).session.router.endpoints[1].is_down
        return run.play(14000.0)

    met(7).as_kept("shut_by_refusals")
    # As long as it is shut: at a pause of 37 s, the first at any time in it, some 3 of 20 make a trial.
    trials = [moment for seed in range(20) for moment, _ in sent(met(seed)) if 4000.0 < moment < 10000.0]
    assert len(trials) <= 6


def test_a_stream_type_that_one_endpoint_fails_goes_to_the_next_and_the_others_stay():
    """One endpoint failed nine tenths of one stream type and took the other: it never looked down."""

    def answers(ticket, endpoint, now):
        return (50.0, SendOutcome.FAILED) if endpoint == 1 and ticket % 2 else (100.0, SendOutcome.ACKED)

    run = SimulatedNode(
        TWO, answers, stream_types=[IDEMPOTENT, IDEMPOTENT._replace(latency_objective_ms=4000.0)]
    )
    for ticket in range(1, 17):
        run.at(600.0 * ticket, run.take, ticket, 0, ticket % 2)
    run.play(20000.0).as_kept("one_stream_type")


def test_the_work_for_an_event_does_not_grow_with_the_fleet():
    def calls(size):
        run, seen = (
            SimulatedNode([(n, n, 0, 0, 4.0, True) for n in range(size)], node_count=size).play(5.0),
            [],
        )
        burst(run, (1, 2))
        sys.setprofile(lambda frame, event, arg: seen.append(event) if event == "call" else None)
        run.play(3000.0)
        sys.setprofile(None)
        return len(seen)

    assert calls(20) == calls(400)


def test_a_route_that_is_out_keeps_nobody_from_the_slots_of_another():
    """Events waited for one route's moment; a free slot of the dearer route passed with the cheaper out."""

    def answers(ticket, endpoint, now):
        return (5.0, SendOutcome.UNREACHABLE) if endpoint == 1 else (50.0, SendOutcome.ACKED)

    routes = [(1, 0, 1, 0, 8.0, True), (2, 0, 0, 0, 4.0, True)]
    run = burst(
        SimulatedNode(routes, answers, separate_routes_by_kind=[True], carriage_cost_by_zone=[0.05, 0.0]),
        range(1, 40),
    ).play(6000.0)
    times = [float(line.split()[0]) for line in run.lines if " -> 2," in line]
    assert len(times) > 20 and max(later - at for at, later in pairwise(times)) < 300.0


def test_a_call_that_reached_nobody_gives_its_slot_back():
    """The client of an event had left, which a 410 says; its slot passed, with others waiting."""
    seen = set()

    def answers(ticket, endpoint, now):
        first = ticket not in seen
        seen.add(ticket)
        return (5.0, SendOutcome.NOT_EXECUTED) if first else (50.0, SendOutcome.ACKED)

    run = burst(SimulatedNode([(1, 0, 0, 0, 1.0, True)], answers), (1, 2, 3)).play(2900.0)
    assert [round(float(line.split()[0]), -3) for line in run.lines if " acked " in line] == [
        0.0,
        1000.0,
        2000.0,
    ]


def test_an_overload_is_not_served_oldest_first():
    """Twice what a destination takes: with the oldest first, each event waited until worthless."""
    stream = StreamType(1500.0, 5000.0, effect="idempotent")
    run = SimulatedNode(ONE, stream_types=[stream])
    for ticket in range(160):
        burst(run, (ticket,), 10.0 + 125.0 * ticket)
    run.play(30000.0)
    acked = [(float(line.split()[0]), int(line.split()[2])) for line in run.lines if " acked " in line]
    ages = sorted(at - 10.0 - 125.0 * ticket for at, ticket in acked)
    assert len(ages) > 100 and ages[len(ages) // 2] < 2300.0, ages[len(ages) // 2]


def test_tables_empty_as_endpoints_subjects_and_ids_come_and_go(tmp_path):
    """A long day: endpoints under ever-new ids at one address, ever-new subjects, events and keys."""
    anyio.run(_a_long_day, tmp_path)


async def _a_long_day(folder):
    run = SimulatedNode([], stream_types=[IDEMPOTENT._replace(is_ordered=True)], warm_up_ms=500.0)
    module, discovery = run.session.router, DiscoveryClient(("127.0.0.1", 1), None, {}, {}, 0.0, 0.0)
    log, lines = (
        WriteAheadLog(str(folder), 3_000_000, lambda: run.now),
        ConnectionPool(lambda: run.now, 1000.0, 50),
    )
    door = socket.create_server(("127.0.0.1", 0))
    for number in range(300):
        row = {
            "id": f"s-{number}",
            "addr": f"127.0.0.1:{door.getsockname()[1]}",
            "cell": 0,
            "state": "SERVING",
        }
        gone = {"id": f"s-{number - 1}", "addr": row["addr"], "cell": 0, "state": "DELETED"}
        run.at(
            200.0 * number,
            run.list,
            *discovery.parse_list({"version": number, "full": False, "servers": [row, gone]}),
        )
        run.at(200.0 * number, lambda ticket=number: run.take(ticket, subject=ticket + 1))
        run.play(200.0 * number + 199.0)
        held = PendingEvent(f"evt-{number}", f"key-{number}", "notice", 0, run.now + 5000.0, 0, 0, b"body")
        assert log.matches_known_event(held) is None and log.append_taken(held) and log.append_sent(held, 0)
        log.append_ended(held)
        assert log.matches_known_event(held)
        line = Connection(socket.create_connection(door.getsockname()), BufferPool(), None)
        door.accept()[0].close()
        lines.release((row["id"], discovery.addresses[row["id"]]), line)
    lines.close_all()
    sizes = {
        "endpoints": len(module.endpoints),
        "lost": len(module.health.down_endpoints),
        "subjects": len(module.ordering.queues),
        "destinations": len(module.destinations),
        "events": len(run.session.pending),
        "addresses": len(discovery.addresses),
        "held": len(log.pending),
        "over": len(log.recently_ended),
        "idle": len(lines.idle),
    }
    log.close(), door.close()
    assert len(run.lines) >= 600 and sizes["addresses"] == sizes["destinations"] == 1
    assert (
        sizes["endpoints"] < 10 and sizes["subjects"] < 10 and sizes["over"] < 20 and sum(sizes.values()) < 40
    ), sizes
