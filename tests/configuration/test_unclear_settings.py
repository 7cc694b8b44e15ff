"""Unclear settings and names: interpreted conservatively and reported, or rejected with a one-line error."""

import anyio
import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.client.discovery_client import DiscoveryClient


def test_each_zone_missing_from_the_settings_is_a_separate_group():
    async def read_zones(*names):
        discovery = DiscoveryClient(("127.0.0.1", 1), None, {}, {"east": 0, "west": 1}, 0.0, 0.0)
        entries = [
            {"id": f"s-{number}", "addr": "127.0.0.1:9", "cell": 1, "state": "SERVING"}
            | ({"zone": name} if name != "-" else {})
            for number, name in enumerate(names)
        ]
        return [
            entry[2] for entry in discovery.apply_list({"version": 1, "full": True, "servers": entries})[0]
        ]

    names = "east", "west", "north", "north", "south", "-", None, ["east"], 7
    zones = anyio.run(read_zones, *names)
    assert zones[:2] == [0, 1] and zones[2] == zones[3] and len(set(zones)) == len(zones) - 1
    assert anyio.run(read_zones, *names) == zones  # a second client, as after a restart, agrees


def test_an_endpoint_in_a_zone_without_carriage_cost_is_used():
    run = SimulatedNode(
        [("a", 0, 70000, 0, 0.0, True)],
        stream_types=[IDEMPOTENT],
        separate_routes_by_kind=[True],
        carriage_cost_by_zone=[0.1, 0.2],
    )
    run.schedule(1.0, run.submit, 1)
    assert any("acked 1 at a" in line for line in run.run_until(500.0).lines)


@pytest.mark.parametrize(
    "profile, warning",
    [
        (
            {"Effect": "unique"},
            "Effect must be one of retryable, dedup, fragile, not 'unique'; it is treated as non-idempotent",
        ),
        (
            {"Group": "continent"},
            "Group is unknown: 'continent'; each endpoint is treated as a separate deduplication group",
        ),
        (
            {"Window": None},
            "Window is None, not a positive time; events that may have run are not sent again",
        ),
    ],
)
def test_an_unclear_stream_type_is_interpreted_conservatively_and_reported(tmp_path, profile, warning):
    first, second = FakeEndpoint("reset", "reset"), FakeEndpoint("reset", "reset", ident="s-2")
    with NodeProcess(
        tmp_path,
        first,
        second,
        Profiles=[stream_profile("posting", "dedup", Window=3.0, Group="zone") | profile],
    ) as node:
        assert node.submit("posting", left="2000m", **{"Idempotency-Key": "k"}) == 202
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"})
        assert not (first.calls and second.calls)
        assert "the settings' Profiles[0] (posting): " in (log := node.stop_and_read_log()) and warning in log


@pytest.mark.parametrize(
    "profile", [{"Window": float("nan")}, {"Window": "3 s"}, {"Deadline": float("inf")}, {"Effect": []}]
)
def test_an_unusable_stream_type_fails_the_start_with_one_line(tmp_path, profile):
    program = NodeProcess(
        tmp_path,
        FakeEndpoint(),
        Profiles=[stream_profile("a", "retryable"), stream_profile("b", "dedup", Window=3.0) | profile],
    )
    with pytest.raises(AssertionError) as raised:
        program.start()
    program.process.wait(), program.process.stderr.close(), program.discovery.listener.close()
    assert program.process.returncode == 2 and str(raised.value).count("\\n") <= 1
    assert f"{program.config_path}: the settings' Profiles[1] cannot be read" in str(raised.value)
