"""No effect happens twice: a node that is killed and stopped, and endpoints that fail in random ways."""

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

ONCE, ZONE, ALL, FREELY = (
    EffectRules(True),
    EffectRules(True, "zone", 2.0),
    EffectRules(True, "all", 2.0),
    EffectRules(False),
)


@pytest.mark.parametrize(
    "rule, calls, notices, said",
    [
        (ONCE, [ReceivedCall(1.0, "e", "k", "a", False), ReceivedCall(2.0, "e", "k", "b", True)], [], None),
        (
            ONCE,
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
            FREELY,
            [ReceivedCall(1.0, "e", "k", "a", True), ReceivedCall(9.0, "e", "k", "b", True)],
            [(9.5, "e", "handed_back")],
            None,
        ),
        (
            FREELY,
            [ReceivedCall(9.0, "e", "k", "b", False)],
            [(8.9, "e", "handed_back")],
            "after it was handed_back",
        ),
    ],
)
def test_the_rules_name_each_violation_and_nothing_else(rule, calls, notices, said):
    found = find_violations(calls, {"e": rule, "f": rule}, notices)
    assert not found if said is None else any(said in line for line in found), found


class RandomEndpoint(GatedEndpoint):
    """An endpoint whose every answer is drawn, and whose calls are noted in the scenario."""

    LISTED_RATE = 300.0  # calls/s, so high that trials of a failed endpoint come soon
    LATE = "late"  # the next attempt meets a full accept queue; its connection comes up a second after that
    ANSWERS = [200, 500, 503, "reset", None, LATE]
    ANSWER_WEIGHTS = [4, 2, 4, 3, 5, 3]

    def __init__(self, scenario, seed, zone, **more):
        super().__init__(**more)
        self.scenario = scenario
        self.random = random.Random(seed)
        self.zone = zone
        self.answer = self._answer

    def entry(self, state="SERVING", weight=LISTED_RATE):
        return super().entry(state, weight) | {"zone": self.zone}

    def toggle(self):
        if self.gate.is_set():
            self.stop_accepting()
        else:
            self.resume_accepting()

    def _answer(self, method, target, headers, body):
        arrived_at = self.request_arrival.at
        if method == "GET":
            return 200, [], b""
        events = [(headers.get("x-txn"), headers.get("idempotency-key", ""))]
        if target == "/receive-many":
            events = [(row["id"], row.get("key", "")) for row in json.loads(body)]
        with self.scenario.lock:
            answer = self.random.choices(self.ANSWERS, self.ANSWER_WEIGHTS)[0]
            self.scenario.calls += [
                ReceivedCall(arrived_at, ident, key, self.zone, answer != 503) for ident, key in events
            ]
            pause = self.random.choice([0.0, 0.05, 0.4])
        if answer == self.LATE:
            self.stop_accepting()
            time.sleep(1.15)
            threading.Timer(0.3, self.resume_accepting).start()
            return "reset"
        time.sleep(pause)
        if len(events) > 1 and answer == 200:
            answer = 500
        return (answer, [], b"") if isinstance(answer, int) else answer


class Scenario:
    """A node, random endpoints in two zones, and clients whose events have every kind of contract."""

    STREAM_TYPES = {
        "once": (ONCE, stream_profile("once", "fragile", Deadline=6.0)),
        "zonal": (ZONE, stream_profile("zonal", "dedup", Group="zone", Window=2.0, Deadline=6.0)),
        "wide": (ALL, stream_profile("wide", "dedup", Group="all", Window=2.0, Deadline=6.0)),
        "notice": (FREELY, stream_profile("notice", "retryable", Deadline=6.0)),
    }
    DESTINATIONS = 4

    def __init__(self, folder, seed):
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.calls = []
        self.rules = {}
        self.notifications = []  # (Unix s, event id, outcome)
        self.endpoints = [
            RandomEndpoint(
                self,
                self.random.random(),
                "west" if number % 3 else "east",
                ident=f"s-{number}",
                cell=1 + number // 3,
            )
            for number in range(3 * self.DESTINATIONS)
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
        self._answer_of_discovery = self.node.discovery.answer
        self.node.discovery.answer = self._receive_notification

    def _receive_notification(self, method, target, headers, body):
        discovery = self.node.discovery
        arrived_at = discovery.request_arrival.at
        before = len(discovery.notifications)
        answer = self._answer_of_discovery(method, target, headers, body)
        with self.lock:
            self.notifications += [
                (arrived_at, row["message"], row["outcome"]) for row in discovery.notifications[before:]
            ]
        return answer

    def submit(self, number):
        stream_type = self.random.choice(list(self.STREAM_TYPES))
        ident = f"evt-{number}"
        self.rules[ident] = self.STREAM_TYPES[stream_type][0]
        self.node.submit(
            stream_type,
            ident=ident,
            left="5500m",
            destination=self.random.randint(1, self.DESTINATIONS),
            **{"Idempotency-Key": f"key-{number}"},
        )


def test_a_call_arrives_with_its_last_byte_though_its_sender_is_killed_before_it_is_accepted():
    """The kernel's stamp was that of the close: it made a call seem late by up to two seconds."""
    arrivals = []

    def answer(*_request):
        arrivals.append(server.request_arrival.at)
        return 200, [], b""

    server = FakeHttpServer(answer)
    address = server.listener.getsockname()
    server.gate.clear()
    with socket.create_connection(address):  # the one that is accepted in any case
        wait_until(lambda: server.accepted == 1)
        with socket.create_connection(address) as sender:
            sent_at = time.time()
            sender.sendall(b"GET /ping HTTP/1.1\r\nHost: endpoint\r\n\r\n")
            time.sleep(0.5)
        server.gate.set()
        wait_until(lambda: arrivals)
    assert abs(arrivals[0] - sent_at) < SLACK_S


@pytest.mark.parametrize("seed", [1, 3])
def test_no_effect_happens_twice_whatever_receivers_and_processes_do(tmp_path, seed):
    """Attempts whose connection came up late, of a process that stood still or was killed.

    Each had its turn to break it.
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
    repeated = len(calls) - len({call.ident for call in calls})
    assert not find_violations(calls, scenario.rules, scenario.notifications)
    assert repeated > 50 and len({call.ident for call in calls if call.ran}) > 100
