"""Responses that are written a second time must not end other calls, health checks or notifications."""

import random
import time

import pytest
from support.call_records import (
    RecordingEndpoint,
    lost_event_ids,
    overlapping_event_ids,
    repeated_event_ids,
)
from support.node_process import NodeProcess, wait_until

STREAM_TYPES = ["once", "posting", "notice"]
COPIED_SHARE = 0.2
NODE_SETTINGS = {"Weights": "nominal", "Domain": {"CallsOut": 60}, "Permissions": {"MaxOpen": 400}}


def copy_delays(seed, min_s, max_s):
    """Return a function that draws the delay of a response's copy; None for most responses."""
    rng = random.Random(seed)
    return lambda: rng.uniform(min_s, max_s) if rng.random() < COPIED_SHARE else None


def submit_events(node, count, events_per_s):
    """Submit events of each stream type at an even rate; return the accepted events' ids by stream type."""
    accepted = {stream_type: [] for stream_type in STREAM_TYPES}
    started_at = time.monotonic()
    for number in range(count):
        time.sleep(max(0.0, started_at + number / events_per_s - time.monotonic()))
        stream_type = STREAM_TYPES[number % len(STREAM_TYPES)]
        event_id = f"{stream_type}-{number}"
        if node.submit(stream_type, ident=event_id, **{"Idempotency-Key": event_id}) == 202:
            accepted[stream_type].append(event_id)
    wait_until(lambda: not node.pending_event_ids())
    return accepted


@pytest.mark.parametrize("batch_size", [1, 4])
def test_a_copy_of_a_response_does_not_end_another_call(tmp_path, batch_size):
    endpoints = [RecordingEndpoint(seed, ident=f"s-{seed}") for seed in (1, 2)]
    for seed, endpoint in enumerate(endpoints, 11):
        endpoint.draw_copy_delay_s = copy_delays(seed, 0.0, 0.25)
    settings = NODE_SETTINGS | {"Domain": {"KindBatch": [batch_size], "CallsOut": 60}}
    with NodeProcess(tmp_path, *endpoints, **settings) as node:
        accepted = submit_events(node, count=600, events_per_s=100.0)
        final_outcomes = node.final_outcomes()
    records = [record for endpoint in endpoints for record in endpoint.records]
    event_ids = sum(accepted.values(), [])
    assert len(event_ids) > 500
    violations = {
        "lost": lost_event_ids(event_ids, records, final_outcomes),
        "run again": repeated_event_ids(accepted["once"], records),
        "out twice": overlapping_event_ids(records),
    }
    assert violations == {"lost": [], "run again": [], "out twice": []}
