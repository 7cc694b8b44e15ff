"""The watch when it falls silent, dribbles, breaks off or says what cannot be read.

And endpoints listed anew.
"""

import json
import math
import threading
import time

import anyio
import pytest
from support.fake_servers import FakeDiscovery, FakeEndpoint, FakeHttpServer
from support.node_process import NodeProcess, until
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.client.discovery_client import MOST_DOUBTFUL, MOST_LIST, DiscoveryClient, JsonAssembler
from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination
from swiftthread.routing.messages import SendOutcome
from swiftthread.service import limits

ROW = {
    "id": "s-1",
    "addr": "127.0.0.1:2",
    "cell": 0,
    "zone": "east",
    "kind": "plain",
    "state": "SERVING",
    "weight": 4.0,
}
PAGE = {"version": 3, "full": True, "servers": [ROW, ROW | {"id": "s-2"}]}


def lists(text):
    parser = JsonAssembler()
    return [page for row in text.encode().split(b"\n")[:-1] if (page := parser.add(row)) is not None]


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
def test_lists_come_one_a_line_or_indented(indent):
    text = json.dumps(PAGE, indent=indent)
    assert lists(f"\n{text}\n\n  {text}  \n") == [PAGE, PAGE]


@pytest.mark.parametrize(
    "text",
    [
        '{"version": 7, "servers": [{"id"\n\n',
        '{"version": 7\n{"version": 8, "servers": []}\n',
        "7\n",
        "[]\n",
        '[{"servers": []}]\n',
        "HTTP/1.1 200 OK\n",
        "}\n",
        '{"a": }\n',
        "{\n" + '"a": 1,\n' * (MOST_LIST // 8),
    ],
)
def test_what_is_no_list_is_told_as_such_and_never_waited_for(text):
    with pytest.raises(ValueError):
        lists(text)


def entries(*pages):
    """What a registry makes of each page, and the registry."""

    async def read():
        discovery, found = (
            DiscoveryClient(("127.0.0.1", 1), None, {"plain": 0}, {"east": 0, "west": 1}, 0.0, 0.0),
            [],
        )
        for page in pages:
            try:
                found.append(discovery.parse_list(page))
            except (ValueError, KeyError, TypeError, AttributeError) as fault:
                found.append(fault)
        return discovery, found

    return anyio.run(read)


@pytest.mark.parametrize(
    "page",
    [
        {},
        {"full": True},
        {"version": 9, "full": True, "servers": None},
        7,
        [PAGE],
        {"version": 9, "full": True, "servers": {"s-3": ROW}},
        {"version": "nine", "full": True, "servers": []},
    ],
)
def test_a_page_that_is_no_list_changes_nothing(page):
    discovery, (_, said) = entries(PAGE, page)
    assert isinstance(said, Exception)
    assert discovery.version == 3 and set(discovery.addresses) == {"s-1", "s-2"}


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize(
    "wrong", [{"addr": "nowhere"}, {"cell": None}, {"weight": "much"}, {"state": None, "addr": 5}]
)
def test_a_known_endpoint_whose_entry_cannot_be_read_gets_nothing_new(full, wrong):
    discovery, (_, (found, whole)) = entries(
        PAGE, {"version": 4, "full": full, "servers": [ROW | wrong, 7, {"id": 5}]}
    )
    run = SimulatedNode([], stream_types=[])
    run.session.router.apply_endpoint_list(*entries(PAGE)[1][0], 0.0)
    run.session.router.endpoints["s-1"].last_outcome_at = 0.5
    run.session.router.apply_endpoint_list(found, whole, 1.0)
    assert not run.session.router.endpoints["s-1"].is_ready and run.session.router.endpoints["s-1"].zone == 0
    assert [endpoint.endpoint_id for endpoint in run.session.router.destinations[0].endpoints] == (
        [] if full else ["s-2"]
    ) and discovery.unreadable_in_a_row == 1


def test_a_change_with_an_unreadable_entry_has_the_whole_list_asked_for(tmp_path):
    old, new = FakeEndpoint(), FakeEndpoint(ident="s-2", cell=2)
    with NodeProcess(tmp_path, old) as node:
        until(lambda: node.discovery.watches)
        whole = {"version": 2, "full": True, "servers": [old.entry(), new.entry()]}
        node.discovery.tell(new.entry() | {"addr": "nowhere"})
        node.discovery.page = whole
        until(lambda: len(node.discovery.targets) == 2)
        assert node.discovery.targets[1].endswith("from=0")
        until(lambda: node.hand_in(destination=2) == 202)
        until(lambda: new.calls)


def test_a_list_that_stays_unreadable_in_part_is_lived_with(tmp_path):
    endpoint = FakeEndpoint()
    with NodeProcess(tmp_path, endpoint, known=False) as node:
        node.discovery.page = {"version": 1, "full": True, "servers": [endpoint.entry(), {"id": "s-9"}]}
        node.discovery.lose_watches()
        until(lambda: len(node.discovery.watches) >= MOST_DOUBTFUL + 1)
        asked = len(node.discovery.targets)
        node.discovery.tell(endpoint.entry())
        assert node.hand_in() == 202
        until(lambda: endpoint.calls)
        assert len(node.discovery.targets) == asked


def test_a_watch_that_dribbles_without_an_end_of_line_is_silent():
    """It never fell silent, and was kept until 4 MiB had come."""
    told, done = [], threading.Event()

    def drip(conn):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while not done.wait(0.02):
                conn.sendall(b"1\r\n{\r\n" if not told else b"1\r\n \r\n")
                told.append(1)
        except OSError:
            done.set()

    async def watch():
        speaker = FakeDiscovery()
        speaker._watch = drip
        host, port = speaker.address.split(":")
        discovery = DiscoveryClient((host, int(port)), BufferPool(), {}, {}, 300.0, 500.0)
        began = time.monotonic()
        with anyio.move_on_after(5.0):
            assert await discovery.watch(None)
        return time.monotonic() - began

    took = anyio.run(watch)
    done.set()
    assert 0.25 < took < 2.0 and len(told) > 3


def test_a_silent_watch_is_asked_again_inside_the_time_that_counts_as_told():
    """The pages: what a watch that fell silent misses counts as told after 6 s.

    An empty line comes every 2 s.
    """
    run = SimulatedNode([])
    pauses = []
    for _ in range(500):
        run.session.router.list_request_failed(0.0)
        pauses.append(run.session.router.list_polling.next_request_at)
    assert limits.WATCH_QUIET_MS > 4000.0 and limits.WATCH_QUIET_MS + max(pauses) < 5200.0


@pytest.mark.parametrize("first, then", [(0, 1), (1, 0)])
def test_an_endpoint_listed_anew_with_another_kind_is_another_and_its_told_wait_holds(first, then):
    node = SimulatedNode(
        [], stream_types=[IDEMPOTENT], batch_size_by_kind=[5, 1], separate_routes_by_kind=[False, True]
    ).session.router
    node.apply_endpoint_list([("a", 0, 0, first, 4.0, True)], True, 0.0)
    event = node.add_event(0.0, 0, 0, 9000.0)
    old = node.decide(event, 0.0).endpoint
    old.rate_limiter.apply_retry_after(3000.0, node.random_uniform)
    node.apply_endpoint_list([("a", 0, 0, then, 4.0, True)], False, 10.0)
    new = node.endpoints["a"]
    assert (
        new is not old
        and (new.has_separate_route, new.batch_size) == (then == 1, 1 if then else 5)
        and new.rate_limiter.retry_after_until == 3000.0
    )
    assert node.send_deadline(event, old, 3500.0) == -math.inf
    node.record_outcome(event, SendOutcome.TIMED_OUT, 3600.0, 3600.0)
    assert node.health.down_endpoints == {} and not new.is_down and new.calls_in_flight == 0


def test_a_probe_s_answer_from_an_address_of_before_says_nothing_of_the_endpoint():
    async def probed(moves):
        addresses = {}

        def answer(method, target, headers, body):
            if moves:
                addresses["a"] = ("127.0.0.1", 1)
            return 200, [], b""

        host, port = FakeHttpServer(answer).address.split(":")
        addresses["a"] = (host, int(port))
        lines = ConnectionPool(lambda: 0.0, 1000.0, 4)
        courier = EndpointClient(
            None,
            lines,
            BufferPool(),
            lambda: 0.0,
            lambda: 0.0,
            addresses,
            1500.0,
            (),
            None,
        )
        end = await courier.check_health(Endpoint("a", 0, Destination(0), 0))
        lines.close_all()
        return end.outcome

    assert [anyio.run(probed, moves) for moves in (False, True)] == [SendOutcome.ACKED, SendOutcome.TIMED_OUT]
