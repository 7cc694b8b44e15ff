"""The log shows when an endpoint is marked down and is up again, and counts what the node did meanwhile."""

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, exchange, wait_until

from swiftthread.memory_account import MemoryUse


def test_outage_recovery_and_counts_are_logged(tmp_path):
    endpoint = FakeEndpoint(503, 503, 200)
    with NodeProcess(tmp_path, endpoint, Obligations={"WarmUp": 0.2}) as node:
        assert node.submit(left="20m", destination=7) == 503
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls and node.has_logged_end("evt-2"))
        lines = node.stop_and_read_log().splitlines()
    assert [
        line
        for line in lines
        if "endpoint s-1 of destination 1 was marked down after 2 consecutive failures "
        "(last outcomes: rate limited, rate limited)" in line
    ]
    assert [
        line
        for line in lines
        if "endpoint s-1 of destination 1 is up again (outcomes before: rate limited, rate limited; last"
        in line
    ]
    counts = next(line for line in lines if "submissions: " in line)
    assert "1 rejected: the destination is in no endpoint list" in counts
    assert "2 rate limited" in counts and "1 acked" in counts
    calls_by_state = counts.partition("calls by state: ")[2].split(", ")
    assert sorted(calls_by_state) == ["1 after an unacked call", "1 normal", "1 trial"]


def test_second_responses_and_closed_connections_are_logged(tmp_path):
    """Without these lines a log does not show that an endpoint writes responses twice."""
    ack = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    responses = [ack * 2, ack + b"noise", ack[:20], None]
    endpoint = FakeEndpoint(*[lambda _body, response=response: response for response in responses])
    with NodeProcess(tmp_path, endpoint) as node:
        for number in range(1, len(responses) + 1):
            assert node.submit("once", left="600m") == 202
            wait_until(lambda: node.has_logged_end(f"evt-{number}"))
        lines = node.stop_and_read_log().splitlines()
    second_response = "endpoint s-1: a second response came behind the response to a call; it is ignored"
    assert len([line for line in lines if second_response in line]) == 1
    counts = next(line for line in lines if "submissions: " in line)
    assert "unsolicited responses: 1 s-1;" in counts
    closed = counts.partition("connections closed: ")[2].partition(";")[0].split(", ")
    assert sorted(closed) == [
        "1 incomplete or malformed response",
        "1 no response",
        "1 unsolicited bytes",
        "1 unsolicited response",
    ]


def test_what_clients_hold_and_why_their_connections_ended_is_logged(tmp_path):
    """Nothing in the logs told why a process passed its memory limit, or what held up its event loop."""
    with NodeProcess(tmp_path, FakeEndpoint(None), limits={"memory_mb": 64}) as node:
        assert node.submit(left="20m", destination=7) == 503
        assert node.raw(b"GET /x HTTP/1.1\r\nHost: n\r\n" + b"a:\r\n" * 200).startswith(b"HTTP/1.1 431")
        assert node.submit(body=bytes(60_000)) == 202
        with node.open() as idle, node.open() as incomplete:
            incomplete.sendall(node.submission_request(body=bytes(9000))[:-1])
            assert exchange(idle, node.submission_request("turn")).startswith(b"HTTP/1.1 202")
            lines = node.stop_and_read_log().splitlines()
    resources = next(line for line in lines if "resources: " in line)
    ended = resources.partition("; ended: ")[2].partition(";")[0].split(", ")
    assert "1 invalid request" in ended and "1 between requests at the shutdown" in ended
    assert " MiB resident, " in resources and " MiB resident, 0.0" not in resources
    held = resources.partition("; most held: ")[2].partition(";")[0]
    held_kib = {use: int(text.split()[0]) for use in MemoryUse for text in [held.partition(f"{use} ")[2]]}
    assert held_kib["incomplete requests"] >= 9 and held_kib["events"] >= 60
    assert held_kib["client connections"] > 0
    assert " ms by requests of clients" in resources.partition("longest hold-ups: ")[2]
