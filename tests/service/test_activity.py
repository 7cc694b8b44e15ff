"""The log tells when an endpoint is held to be down and when it is back, and what the node did in between."""

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until


def test_an_outage_and_its_end_stand_in_the_log_with_the_counts(tmp_path):
    endpoint = FakeEndpoint(503, 503, 200)
    with NodeProcess(tmp_path, endpoint, Obligations={"WarmUp": 0.2}) as node:
        assert node.submit(left="20m", destination=7) == 503
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls and node.has_logged_end("evt-2"))
        lines = node.stop_and_read_log().splitlines()
    assert [
        line
        for line in lines
        if "endpoint s-1 of destination 1 was marked down: 2 consecutive calls failed" in line
    ]
    assert [line for line in lines if "endpoint s-1 of destination 1 is up again" in line]
    counts = next(line for line in lines if "submissions: " in line)
    assert "1 rejected: the destination is in no endpoint list" in counts
    assert "2 rate limited" in counts and "1 acked" in counts
