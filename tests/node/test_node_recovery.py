"""SIGKILL: what the write-ahead log brings back."""

import random
import signal
import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.storage.records import record


def test_sigkill_loses_nothing_and_repeats_no_attempt_that_may_have_run(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Domain={"CallsOut": 2}) as node:
        assert node.submit("once") == 202
        wait_until(lambda: endpoint.calls)
        for stream in ("notice", "posting", "once"):
            assert node.submit(stream) == 202
        time.sleep(0.1)
        out = set(endpoint.event_ids())
        assert node.stop(signal.SIGKILL) == -9
        with open(node.log_path(), "ab") as torn:
            torn.write(record(b"O", b'["evt-2", half a record]')[:-9])
        endpoint.script[:], endpoint.calls[:] = [200], []
        node.discovery.failing_notification_count = 3
        node.start()
        assert node.submit("once") == 202
        wait_until(
            lambda: (
                set(endpoint.event_ids()) >= {"evt-2", "evt-3", "evt-5"} and "evt-1" in node.final_outcomes()
            )
        )
        assert node.final_outcomes()["evt-1"] == "given_up" and "evt-1" not in endpoint.event_ids()
        assert ("evt-4" in endpoint.event_ids()) == ("evt-4" not in out)
        assert len(endpoint.event_ids()) == len(set(endpoint.event_ids()))
        assert node.stop(signal.SIGKILL) == -9 and b"half a record" not in node.log_path().read_bytes()


def test_kills_under_traffic_leave_each_event_with_an_outcome_and_no_effect_twice(tmp_path):
    chance, calls = random.Random(5), []  # (id, what it got: 200, 503, 500 or a reset)

    def answer(method, _target, headers, _body):
        if method == "GET":
            return 200, [], b""
        said = chance.choice([200, 200, 200, 503, 500, "reset"])
        calls.append((headers["x-txn"], said))
        time.sleep(chance.choice([0.0, 0.05, 0.3]))
        return (said, [], b"") if isinstance(said, int) else said

    endpoint = FakeEndpoint()
    endpoint.answer = answer
    with NodeProcess(tmp_path, endpoint) as node:
        taken = {}
        for life in range(4):
            if life:
                node.stop(signal.SIGKILL if life < 3 else signal.SIGTERM)
                node.start()
            for _ in range(15):
                ident, stream = f"evt-{len(taken)}", chance.choice(["notice", "posting", "once"])
                assert node.submit(stream, ident=ident, left="5000m", **{"Idempotency-Key": ident}) == 202
                taken[ident] = stream
                time.sleep(0.02)
        wait_until(
            lambda: (
                not set(taken) - set(node.final_outcomes()) - {ident for ident, said in calls if said == 200}
            ),
            10.0,
        )
        wait_until(
            lambda: all(
                node.has_logged_end(ident) or node.log_path().read_bytes().count(ident.encode()) == 0
                for ident in taken
            )
        )
    for ident in [ident for ident, stream in taken.items() if stream == "once"]:
        said = [said for called, said in calls if called == ident]
        assert all(earlier == 503 for earlier in said[:-1]), said
        assert node.final_outcomes().get(ident) != "handed_back" or set(said) <= {503}


def test_a_decision_outlasts_the_process_until_its_notification_is_answered(tmp_path):
    endpoint = FakeEndpoint(500, 200)
    with NodeProcess(tmp_path, endpoint) as node:
        node.discovery.failing_notification_count = 10**6
        assert node.submit("once") == 202
        wait_until(lambda: b"given_up" in node.log_path().read_bytes())
        node.stop(signal.SIGKILL)
        node.discovery.failing_notification_count = 0
        node.start()
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up"})
        assert len(endpoint.calls) == 1
