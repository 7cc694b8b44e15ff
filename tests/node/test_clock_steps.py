"""Deadlines and deduplication windows do not depend on steps of the wall clock.

They were once computed from Unix time. Of 40 events that waited for their endpoint while the clock was set
an hour forward, 24 were delivered, and none if the step happened between a kill and the restart: the node
treated them as expired. When the clock was set back, an event that may have run was sent again after its
deduplication window.
"""

import signal
import time

import pytest
from support.clock_shim import SteppedClock
from support.fake_servers import FakeEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until

EVENT_COUNT = 6
TIMEOUT_S = 18.0
STEPS_S = [5, -5, 60, -60, 3600, -3600]


@pytest.fixture(scope="module")
def clock_folder(tmp_path_factory):
    return tmp_path_factory.mktemp("clock")


@pytest.fixture
def clock(clock_folder):
    return SteppedClock(clock_folder)


LONG_LIVED = {"Profiles": [stream_profile("notice", "retryable", Deadline=20.0)]}
SHORT_WINDOW = {"Profiles": [stream_profile("posting", "dedup", Window=1.0)]}


def submit_events(node, count, left="5000m"):
    for _ in range(count):
        assert node.submit(left=left) == 202


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("is_restarted", [False, True])
def test_waiting_events_are_delivered_when_the_wall_clock_is_stepped(tmp_path, clock, step_s, is_restarted):
    accepts_calls = []
    endpoint = FakeEndpoint(lambda _body: 200 if accepts_calls else 429)
    with NodeProcess(tmp_path, endpoint, environ=clock.environ, **LONG_LIVED) as node:
        submit_events(node, EVENT_COUNT, left="20000m")
        if is_restarted:
            node.stop(signal.SIGKILL)
        clock.step(step_s)
        accepts_calls.append(True)
        if is_restarted:
            node.start()
        submit_events(node, 1, left="20000m")
        wait_until(lambda: not node.pending_event_ids(), TIMEOUT_S)
        assert node.final_outcomes() == {}


def test_each_event_is_sent_once_when_the_clock_is_stepped_repeatedly(tmp_path, clock):
    def respond_slowly(_body):
        time.sleep(0.05)
        return 200

    endpoint = FakeEndpoint(respond_slowly)
    with NodeProcess(tmp_path, endpoint, environ=clock.environ) as node:
        for step_s in STEPS_S * 3:
            submit_events(node, 2)
            clock.step(step_s)
        wait_until(lambda: not node.pending_event_ids())
        assert node.final_outcomes() == {}
        assert len(endpoint.calls) == len(set(endpoint.event_ids())) == 2 * 3 * len(STEPS_S)


def test_an_elapsed_deduplication_window_is_not_reopened_when_the_clock_is_set_back(tmp_path, clock):
    endpoint = FakeEndpoint("reset", 429)
    with NodeProcess(tmp_path, endpoint, environ=clock.environ, **SHORT_WINDOW) as node:
        assert node.submit("posting", left="5000m", **{"Idempotency-Key": "k"}) == 202
        wait_until(lambda: endpoint.calls)
        node.stop(signal.SIGKILL)
        first_call_at = endpoint.calls[0][0]
        wait_until(lambda: time.monotonic() > first_call_at + 1.0)
        clock.step(-60)
        endpoint.script = [200]
        node.start()
        wait_until(lambda: "evt-1" in node.final_outcomes())
        sent_after_window = [at for at, *_ in endpoint.calls if at > first_call_at + 1.05]
        assert sent_after_window == []


def test_an_event_expires_on_time_when_the_clock_is_set_back(tmp_path, clock):
    endpoint = FakeEndpoint(429)
    with NodeProcess(tmp_path, endpoint, environ=clock.environ) as node:
        submitted_at = time.monotonic()
        assert node.submit(left="1500m") == 202
        node.stop(signal.SIGKILL)
        clock.step(-60)
        node.start()
        wait_until(lambda: "evt-1" in node.final_outcomes())
        assert time.monotonic() < submitted_at + 1.5 + 0.3
