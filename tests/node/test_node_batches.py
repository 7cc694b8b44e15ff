"""Batches: calls with several events."""

import json

import pytest
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

from swiftthread.client.endpoint_request import batch_entry_bytes, build_send_request
from swiftthread.client.http_exchange import MAX_BODY_BYTES
from swiftthread.routing.rate_limiter import CALL_BODY_FRAME_BYTES
from swiftthread.storage.pending_event import PendingEvent

REJECTED = (429, [("Retry-After", "0.6")], b"")


def batch_response(states, missing_bytes=0):
    """Return a script entry that responds to a batch with these states, in order.

    The last `missing_bytes` bytes of the response are omitted. A call with a single event gets a 200.
    """

    def respond(body):
        events = json.loads(body) if body.startswith(b"[") else None
        if not isinstance(events, list):
            return 200
        text = json.dumps(
            [{"id": event["id"], "state": state} for event, state in zip(events, states, strict=False)]
        )
        return 200, [], text[: len(text) - missing_bytes].encode()

    return respond


def test_each_event_of_a_batch_has_its_own_outcome(tmp_path):
    states = ["done", "failed", "busy", "void", "used_up"]
    endpoint = FakeEndpoint(REJECTED, batch_response(states), batch_response(["done"] * 5))
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}) as node:
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls)
        for _ in range(4):
            assert node.submit("once", b"\xfe") == 202
        wait_until(lambda: all(node.has_logged_end(f"evt-{i}") for i in range(1, 6)))
        assert endpoint.calls[1][1] == "/receive-many"
        sent = [event["id"] for event in json.loads(endpoint.calls[1][3])]
        resent = [
            event_id
            for call in endpoint.calls[2:]
            for event_id in (
                [call[2]["x-txn"]]
                if call[1] == "/receive"
                else [event["id"] for event in json.loads(call[3])]
            )
        ]
        abandoned = sent[1] if sent[1] != "evt-1" else None
        assert set(resent) - {"evt-1"} == {sent[2], sent[4]} - {"evt-1"}
        assert node.final_outcomes() == ({abandoned: "given_up"} if abandoned else {})


def test_after_an_unreadable_response_each_event_of_a_batch_may_have_run(tmp_path):
    endpoint = FakeEndpoint(REJECTED, batch_response(["done"] * 5, missing_bytes=3), 200)
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}) as node:
        node.submit("once")
        wait_until(lambda: endpoint.calls)
        node.submit("once")
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up", "evt-2": "given_up"})
        assert len(endpoint.calls) == 2


def test_a_call_of_several_events_stays_within_the_longest_body_of_the_protocol(tmp_path):
    """A clump of large events went out in longer calls, which were answered 413 until no attempt was left."""

    def respond(body):
        return (413, [], b"") if len(body) > MAX_BODY_BYTES else ack_all(body)

    ack_all = batch_response(["done"] * 5)
    endpoint = FakeEndpoint(REJECTED, respond)
    endpoint.entry = lambda entry=endpoint.entry: entry(weight=50.0)
    sizes = [24_000] * 6 + [60_000, 200, 200, 200]
    with NodeProcess(tmp_path, endpoint, Weights="nominal", Domain={"KindBatch": [5]}) as node:
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls)
        for size in sizes:  # they wait for the end of the Retry-After, and are decided in one cycle
            assert node.submit(body=bytes(size)) == 202
        wait_until(lambda: not node.pending_event_ids())
    bodies = [body for _, target, _, body in endpoint.calls if target == "/receive-many"]
    assert bodies and max(len(body) for body in bodies) <= MAX_BODY_BYTES
    assert max(len(json.loads(body)) for body in bodies) > 1
    assert node.final_outcomes() == {}


@pytest.mark.parametrize("event_id, key", [("evt-1", ""), ('e"\\', "k"), ("é" * 20, "\u2028")])
@pytest.mark.parametrize("body", [b"", b"a", b"ab", b"abc", bytes(1000)])
def test_the_length_of_an_entry_in_a_call_of_several_events_is_known(event_id, key, body):
    events = [PendingEvent(event_id, key, "notice", 1, 0.0, None, 0, body) for _ in range(3)]
    length = len(build_send_request(events, 1.0).body)
    assert length <= CALL_BODY_FRAME_BYTES + sum(map(batch_entry_bytes, events)) < length + 60
