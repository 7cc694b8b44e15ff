"""Several events in one call."""

import json

from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, wait_until

REJECTED = (429, [("Retry-After", "0.6")], b"")


def batch_answer(states, cut=0):
    """An answer to a call of several: the states in turn, the last `cut` bytes of it missing."""

    def answer(body):
        rows = json.loads(body) if body.startswith(b"[") else None
        if not isinstance(rows, list):
            return 200
        said = json.dumps(
            [{"id": row["id"], "state": state} for row, state in zip(rows, states, strict=False)]
        )
        return 200, [], said[: len(said) - cut].encode()

    return answer


def test_each_event_of_a_batch_has_its_own_outcome(tmp_path):
    states = ["done", "failed", "busy", "void", "used_up"]
    endpoint = FakeEndpoint(REJECTED, batch_answer(states), batch_answer(["done"] * 5))
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}) as node:
        assert node.submit() == 202
        wait_until(lambda: endpoint.calls)
        for _ in range(4):
            assert node.submit("once", b"\xfe") == 202
        wait_until(lambda: all(node.has_logged_end(f"evt-{i}") for i in range(1, 6)))
        assert endpoint.calls[1][1] == "/receive-many"
        sent = [row["id"] for row in json.loads(endpoint.calls[1][3])]
        again = [
            ident
            for call in endpoint.calls[2:]
            for ident in (
                [call[2]["x-txn"]] if call[1] == "/receive" else [row["id"] for row in json.loads(call[3])]
            )
        ]
        unsafe = sent[1] if sent[1] != "evt-1" else None
        assert set(again) - {"evt-1"} == {sent[2], sent[4]} - {"evt-1"}
        assert node.final_outcomes() == ({unsafe: "given_up"} if unsafe else {})


def test_after_an_unreadable_answer_each_event_of_a_batch_may_have_run(tmp_path):
    endpoint = FakeEndpoint(REJECTED, batch_answer(["done"] * 5, cut=3), 200)
    with NodeProcess(tmp_path, endpoint, Domain={"KindBatch": [5]}) as node:
        node.submit("once")
        wait_until(lambda: endpoint.calls)
        node.submit("once")
        wait_until(lambda: node.final_outcomes() == {"evt-1": "given_up", "evt-2": "given_up"})
        assert len(endpoint.calls) == 2
