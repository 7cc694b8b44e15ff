"""Recovery from the write-ahead log after SIGKILL."""

import random
import signal
import time

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.storage.records import encode_record


def test_after_sigkill_no_event_is_lost_and_none_that_may_have_run_is_sent_again(tmp_path):
    endpoint = FakeEndpoint(None)
    with NodeProcess(tmp_path, endpoint, Domain={"CallsOut": 2}) as node:
        assert node.submit("once") == 202
        wait_until(lambda: endpoint.calls)
        for stream in ("notice", "posting", "once"):
            assert node.submit(stream) == 202
        time.sleep(0.1)
        attempted = set(endpoint.event_ids())
        assert node.stop(signal.SIGKILL) == -9
        with open(node.log_path(), "ab") as log:
            log.write(encode_record(b"O", b'["evt-2", half a record]')[:-9])
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
        assert ("evt-4" in endpoint.event_ids()) == ("evt-4" not in attempted)
        assert len(endpoint.event_ids()) == len(set(endpoint.event_ids()))
        assert node.stop(signal.SIGKILL) == -9 and b"half a record" not in node.log_path().read_bytes()


def test_after_kills_under_load_each_event_has_an_outcome_and_none_ran_twice(tmp_path):
    rng, calls = random.Random(5), []  # calls as (event id, response: 200, 503, 500 or "reset")

    def respond(method, _target, headers, _body):
        if method == "GET":
            return 200, [], b""
        response = rng.choice([200, 200, 200, 503, 500, "reset"])
        calls.append((headers["x-txn"], response))
        time.sleep(rng.choice([0.0, 0.05, 0.3]))
        return (response, [], b"") if isinstance(response, int) else response

    endpoint = FakeEndpoint()
    endpoint.respond = respond
    with NodeProcess(tmp_path, endpoint) as node:
        accepted = {}
        for process_number in range(4):
            if process_number:
                node.stop(signal.SIGKILL if process_number < 3 else signal.SIGTERM)
                node.start()
            for _ in range(15):
                event_id, stream = f"evt-{len(accepted)}", rng.choice(["notice", "posting", "once"])
                assert (
                    node.submit(stream, ident=event_id, left="5000m", **{"Idempotency-Key": event_id}) == 202
                )
                accepted[event_id] = stream
                time.sleep(0.02)
        wait_until(
            lambda: (
                not set(accepted)
                - set(node.final_outcomes())
                - {event_id for event_id, response in calls if response == 200}
            ),
            10.0,
        )
        wait_until(
            lambda: all(
                node.has_logged_end(event_id) or node.log_path().read_bytes().count(event_id.encode()) == 0
                for event_id in accepted
            )
        )
    for event_id in [event_id for event_id, stream in accepted.items() if stream == "once"]:
        responses = [response for called_id, response in calls if called_id == event_id]
        assert all(earlier == 503 for earlier in responses[:-1]), responses
        assert node.final_outcomes().get(event_id) != "handed_back" or set(responses) <= {503}


def test_a_decision_is_notified_after_a_kill_if_discovery_had_not_confirmed_it(tmp_path):
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
