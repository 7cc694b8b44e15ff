"""Settings and names that are unclear: read the cautious way and reported, or refused in one line."""

import anyio
import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until
from support.simulated_node import SimulatedNode
from support.stream_types import IDEMPOTENT

from swiftthread.client.discovery_client import DiscoveryClient


def test_a_zone_that_the_settings_do_not_name_is_a_group_of_its_own():
    async def zones(*names):
        discovery = DiscoveryClient(("127.0.0.1", 1), None, {}, {"east": 0, "west": 1}, 0.0, 0.0)
        rows = [
            {"id": f"s-{number}", "addr": "127.0.0.1:9", "cell": 1, "state": "SERVING"}
            | ({"zone": name} if name != "-" else {})
            for number, name in enumerate(names)
        ]
        return [row[2] for row in discovery.parse_list({"version": 1, "full": True, "servers": rows})[0]]

    names = "east", "west", "north", "north", "south", "-", None, ["east"], 7
    seen = anyio.run(zones, *names)
    assert seen[:2] == [0, 1] and seen[2] == seen[3] and len(set(seen)) == len(seen) - 1
    assert anyio.run(zones, *names) == seen  # also after a restart


def test_events_of_an_unnamed_zone_pay_no_fee_and_go_on():
    run = SimulatedNode(
        [("a", 0, 70000, 0, 0.0, True)],
        stream_types=[IDEMPOTENT],
        separate_routes_by_kind=[True],
        carriage_cost_by_zone=[0.1, 0.2],
    )
    run.schedule(1.0, run.submit, 1)
    assert any("acked 1 at a" in line for line in run.run_until(500.0).lines)


@pytest.mark.parametrize(
    "profile, said",
    [
        (
            {"Effect": "unique"},
            "Effect is none of retryable, dedup, fragile: 'unique'; it is held to be non-idempotent",
        ),
        (
            {"Group": "continent"},
            "Group is none that is known: 'continent'; each endpoint is a group of its own",
        ),
        ({"Window": None}, "nothing that may have run is sent again"),
    ],
)
def test_what_is_unclear_of_a_stream_type_is_read_the_cautious_way_and_named(tmp_path, profile, said):
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
        assert "the settings' Profiles[0] (posting): " in (text := node.stop_and_read_log()) and said in text


@pytest.mark.parametrize(
    "profile", [{"Window": float("nan")}, {"Window": "3 s"}, {"Deadline": float("inf")}, {"Effect": []}]
)
def test_a_length_of_time_that_is_none_ends_the_start_in_one_line(tmp_path, profile):
    program = NodeProcess(
        tmp_path,
        FakeEndpoint(),
        Profiles=[stream_profile("a", "retryable"), stream_profile("b", "dedup", Window=3.0) | profile],
    )
    with pytest.raises(AssertionError) as told:
        program.start()
    program.process.wait(), program.process.stderr.close(), program.discovery.listener.close()
    assert program.process.returncode == 2 and str(told.value).count("\\n") <= 1
    assert f"{program.config_path}: the settings' Profiles[1] cannot be read" in str(told.value)
