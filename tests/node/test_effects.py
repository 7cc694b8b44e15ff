"""No effect happens twice when the node is killed or suspended and endpoints fail in random ways."""

import json
import random
import signal
import socket
import threading
import time

import pytest
from support.effect_rules import SLACK_S, EffectRules, ReceivedCall, find_violations
from support.fake_servers import FakeHttpServer, GatedEndpoint
from support.node_process import NodeProcess, stream_profile, wait_until

NON_IDEMPOTENT, ZONE, ALL, IDEMPOTENT = (
    EffectRules(True),
    EffectRules(True, "zone", 2.0),
    EffectRules(True, "all", 2.0),
    EffectRules(False),
)


@pytest.mark.parametrize(
    "rule, calls, notifications, expected_violation",
    [
        (
            NON_IDEMPOTENT,
            [ReceivedCall(1.0, "e", "k", "a", False), ReceivedCall(2.0, "e", "k", "b", True)],
            [],
            None,
        ),
        (
            NON_IDEMPOTENT,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(2.0, "e", "k", "a", False)],
            [],
            "may have run at 1.000",
        ),
        (ZONE, [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(3.04, "e", "k", "a", True)], [], None),
        (
            ZONE,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(3.06, "e", "k", "a", False)],
            [],
            "2.060 s after",
        ),
        (
            ZONE,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(2.0, "e", "k", "b", False)],
            [],
            "was sent to zone b",
        ),
        (
            ALL,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(2.0, "e", "k", "b", True)],
            [(2.5, "e", "handed_back")],
            None,
        ),
        (ALL, [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(1.5, "f", "k", "b", True)], [], None),
        (
            ALL,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(3.5, "f", "k", "b", True)],
            [],
            "a second time",
        ),
        (
            ZONE,
            [ReceivedCall(1.0, "e", "k", "a", True)],
            [(1.5, "e", "handed_back")],
            "handed back, and may have run",
        ),
        (
            IDEMPOTENT,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(9.0, "e", "k", "b", True)],
            [(9.5, "e", "handed_back")],
            None,
        ),
        (
            IDEMPOTENT,
            [ReceivedCall(9.0, "e", "k", "b", False)],
            [(8.9, "e", "handed_back")],
            "after it was handed_back",
        ),
    ],
)
def test_find_violations_reports_exactly_the_violations(rule, calls, notifications, expected_violation):
    violations = find_violations(calls, {"e": rule, "f": rule}, notifications)
    assert (
        not violations
        if expected_violation is None
        else any(expected_violation in line for line in violations)
    ), violations


class RandomEndpoint(GatedEndpoint):
    """An endpoint with random responses, which records its calls in the scenario."""

    LISTED_RATE_PER_S = 300.0  # high enough that an endpoint that failed is tried again soon
    # The accept queue is full, so the next connection is established a second late.
    LATE_CONNECT = "late"
    RESPONSES = [200, 500, 503, "reset", None, LATE_CONNECT]
    RESPONSE_WEIGHTS = [4, 2, 4, 3, 5, 3]

    def __init__(self, scenario, seed, zone, **more):
        super().__init__(**more)
        self.scenario = scenario
        self.random = random.Random(seed)
        self.zone = zone
        self.respond = self._respond_randomly

    def entry(self, state="SERVING", weight=LISTED_RATE_PER_S):
        return super().entry(state, weight) | {"zone": self.zone}

    def toggle(self):
        if self.gate.is_set():
            self.stop_accepting()
        else:
            self.resume_accepting()

    def _respond_randomly(self, method, target, headers, body):
        arrived_at = self.request_arrival.at
        if method == "GET":
            return 200, [], b""
        events = [(headers.get("x-txn"), headers.get("idempotency-key", ""))]
        if target == "/receive-many":
            events = [(event["id"], event.get("key", "")) for event in json.loads(body)]
        with self.scenario.lock:
            response = self.random.choices(self.RESPONSES, self.RESPONSE_WEIGHTS)[0]
            self.scenario.calls += [
                ReceivedCall(arrived_at, event_id, key, self.zone, response != 503)
                for event_id, key in events
            ]
            pause = self.random.choice([0.0, 0.05, 0.4])
        if response == self.LATE_CONNECT:
            self.stop_accepting()
            time.sleep(1.15)
            threading.Timer(0.3, self.resume_accepting).start()
            return "reset"
        time.sleep(pause)
        if len(events) > 1 and response == 200:
            response = 500
        return (response, [], b"") if isinstance(response, int) else response


class Scenario:
    """A node, random endpoints in two zones, and clients that submit events of each kind of stream type."""

    STREAM_TYPES = {
        "once": (NON_IDEMPOTENT, stream_profile("once", "fragile", Deadline=6.0)),
        "zonal": (ZONE, stream_profile("zonal", "dedup", Group="zone", Window=2.0, Deadline=6.0)),
        "wide": (ALL, stream_profile("wide", "dedup", Group="all", Window=2.0, Deadline=6.0)),
        "notice": (IDEMPOTENT, stream_profile("notice", "retryable", Deadline=6.0)),
    }
    DESTINATION_COUNT = 4

    def __init__(self, folder, seed):
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.calls = []
        self.rules = {}
        self.notifications = []  # (Unix time in s, event id, outcome)
        self.endpoints = [
            RandomEndpoint(
                self,
                self.random.random(),
                "west" if number % 3 else "east",
                ident=f"s-{number}",
                cell=1 + number // 3,
            )
            for number in range(3 * self.DESTINATION_COUNT)
        ]
        self.node = NodeProcess(
            folder,
            *self.endpoints,
            Profiles=[profile for _, profile in self.STREAM_TYPES.values()],
            Domain={"KindBatch": [4], "CallsOut": 60},
            Permissions={"ConnectTimeout": 4.0, "MaxOpen": 400},
            Localities=["east", "west"],
            Weights="nominal",
        )
        self._respond_as_discovery = self.node.discovery.respond
        self.node.discovery.respond = self._receive_notification

    def _receive_notification(self, method, target, headers, body):
        discovery = self.node.discovery
        arrived_at = discovery.request_arrival.at
        earlier_count = len(discovery.notifications)
        response = self._respond_as_discovery(method, target, headers, body)
        with self.lock:
            self.notifications += [
                (arrived_at, notification["message"], notification["outcome"])
                for notification in discovery.notifications[earlier_count:]
            ]
        return response

    def submit(self, number):
        stream_type = self.random.choice(list(self.STREAM_TYPES))
        event_id = f"evt-{number}"
        self.rules[event_id] = self.STREAM_TYPES[stream_type][0]
        self.node.submit(
            stream_type,
            ident=event_id,
            left="5500m",
            destination=self.random.randint(1, self.DESTINATION_COUNT),
            **{"Idempotency-Key": f"key-{number}"},
        )


def test_the_arrival_of_a_call_is_that_of_its_last_byte_if_its_sender_closes_before_it_is_accepted():
    """The kernel's timestamp was that of the close, so a call seemed to arrive up to two seconds late."""
    arrivals = []

    def respond(*_request):
        arrivals.append(server.request_arrival.at)
        return 200, [], b""

    server = FakeHttpServer(respond)
    address = server.listener.getsockname()
    server.gate.clear()
    with socket.create_connection(address):  # this connection is accepted although the gate is closed
        wait_until(lambda: server.accepted == 1)
        with socket.create_connection(address) as sender:
            sent_at = time.time()
            sender.sendall(b"GET /ping HTTP/1.1\r\nHost: endpoint\r\n\r\n")
            time.sleep(0.5)
        server.gate.set()
        wait_until(lambda: arrivals)
    assert abs(arrivals[0] - sent_at) < SLACK_S


@pytest.mark.parametrize("seed", [1, 3])
def test_no_effect_happens_twice_when_endpoints_fail_and_the_node_is_suspended_or_killed(tmp_path, seed):
    """Covers three earlier causes of a repeated effect.

    They were connections that were established late, a suspended process and a killed process.
    """
    scenario = Scenario(tmp_path, seed)
    with scenario.node as node:
        for number in range(240):
            if number % 12 == 5:
                scenario.random.choice(scenario.endpoints).toggle()
            if number in (70, 150):
                node.process.send_signal(signal.SIGSTOP)
                time.sleep(0.9)
                node.process.send_signal(signal.SIGCONT)
            if number == 110:
                node.stop(signal.SIGKILL)
                node.start()
            scenario.submit(number)
            time.sleep(0.02)
        for endpoint in scenario.endpoints:
            endpoint.resume_accepting()
        wait_until(lambda: not node.pending_event_ids(), 12.0)
    calls = scenario.calls
    repeated_count = len(calls) - len({call.event_id for call in calls})
    assert not find_violations(calls, scenario.rules, scenario.notifications)
    assert repeated_count > 50 and len({call.event_id for call in calls if call.may_have_run}) > 100
