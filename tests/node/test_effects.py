"""Rule 2 by chance: a real node, killed and stopped, among receivers shut, slow, silent and reset."""

import json
import random
import signal
import socket
import threading
import time

import pytest
from support.effect_rules import SLACK_S, Rules, Seen, broken
from support.fake_servers import FakeHttpServer, GatedEndpoint
from support.node_process import NodeProcess, lane, until

ONCE, ZONE, ALL, FREELY = Rules(True), Rules(True, "zone", 2.0), Rules(True, "all", 2.0), Rules(False)


@pytest.mark.parametrize(
    "rule, calls, notices, said",
    [
        (ONCE, [Seen(1.0, "e", "k", "a", False), Seen(2.0, "e", "k", "b", True)], [], None),
        (
            ONCE,
            [Seen(1.0, "e", "k", "a", True), Seen(2.0, "e", "k", "a", False)],
            [],
            "may have run at 1.000",
        ),
        (ZONE, [Seen(1.0, "e", "k", "a", True), Seen(3.04, "e", "k", "a", True)], [], None),
        (ZONE, [Seen(1.0, "e", "k", "a", True), Seen(3.06, "e", "k", "a", False)], [], "2.060 s after"),
        (ZONE, [Seen(1.0, "e", "k", "a", True), Seen(2.0, "e", "k", "b", False)], [], "was sent to zone b"),
        (
            ALL,
            [Seen(1.0, "e", "k", "a", True), Seen(2.0, "e", "k", "b", True)],
            [(2.5, "e", "handed_back")],
            None,
        ),
        (ALL, [Seen(1.0, "e", "k", "a", True), Seen(1.5, "f", "k", "b", True)], [], None),
        (ALL, [Seen(1.0, "e", "k", "a", True), Seen(3.5, "f", "k", "b", True)], [], "a second time"),
        (
            ZONE,
            [Seen(1.0, "e", "k", "a", True)],
            [(1.5, "e", "handed_back")],
            "handed back, and may have run",
        ),
        (
            FREELY,
            [Seen(1.0, "e", "k", "a", True), Seen(9.0, "e", "k", "b", True)],
            [(9.5, "e", "handed_back")],
            None,
        ),
        (FREELY, [Seen(9.0, "e", "k", "b", False)], [(8.9, "e", "handed_back")], "after it was handed_back"),
    ],
)
def test_the_referee_names_each_break_and_nothing_else(rule, calls, notices, said):
    found = broken(calls, {"e": rule, "f": rule}, notices)
    assert not found if said is None else any(said in line for line in found), found


class Day:
    """Receivers in two zones, each on a random script, and clients that hand in again what they get back."""

    STREAMS = {
        "once": (ONCE, lane("once", "fragile", Deadline=6.0)),
        "zonal": (ZONE, lane("zonal", "dedup", Group="zone", Window=2.0, Deadline=6.0)),
        "wide": (ALL, lane("wide", "dedup", Group="all", Window=2.0, Deadline=6.0)),
        "notice": (FREELY, lane("notice", "retryable", Deadline=6.0)),
    }

    CELLS, RATE = 4, 300.0  # destinations; calls/s listed for each, so that trials of a lost one come soon

    def __init__(self, folder, seed):
        self.chance, self.calls, self.rules, self.notices, self.lock = (
            random.Random(seed),
            [],
            {},
            [],
            threading.Lock(),
        )
        self.endpoints = [
            self._endpoint(f"s-{number}", 1 + number // 3, "west" if number % 3 else "east")
            for number in range(3 * self.CELLS)
        ]
        self.program = NodeProcess(
            folder,
            *self.endpoints,
            Profiles=[profile for _, profile in self.STREAMS.values()],
            Domain={"KindBatch": [4], "CallsOut": 60},
            Permissions={"ConnectTimeout": 4.0, "MaxOpen": 400},
            Localities=["east", "west"],
            Weights="nominal",
        )
        self.told = self.program.discovery.answer
        self.program.discovery.answer = self._platform

    def _endpoint(self, ident, cell, zone):
        endpoint, chance = GatedEndpoint(ident=ident, cell=cell), random.Random(self.chance.random())
        endpoint.entry = lambda entry=endpoint.entry: entry(weight=self.RATE) | {"zone": zone}

        def answer(method, target, headers, body):
            at, rows = endpoint.came.at, [(headers.get("x-txn"), headers.get("idempotency-key", ""))]
            if method == "GET":
                return 200, [], b""
            if target == "/receive-many":
                rows = [(row["id"], row.get("key", "")) for row in json.loads(body)]
            with self.lock:
                said = chance.choices([200, 500, 503, "reset", None, "late"], [4, 2, 4, 3, 5, 3])[0]
                self.calls += [Seen(at, ident, key, zone, said != 503) for ident, key in rows]
                pause = chance.choice([0.0, 0.05, 0.4])
            if said == "late":  # the next send meets it shut, and its connection comes up a second after that
                endpoint.shut()
                time.sleep(1.15)
                threading.Timer(0.3, endpoint.hear).start()
                return "reset"
            time.sleep(pause)
            if len(rows) > 1 and said == 200:
                said = 500
            return (said, [], b"") if isinstance(said, int) else said

        endpoint.answer = answer
        return endpoint

    def _platform(self, method, target, headers, body):
        came = self.program.discovery.came.at
        before = len(self.program.discovery.notices)
        said = self.told(method, target, headers, body)
        with self.lock:
            self.notices += [
                (came, row["message"], row["outcome"]) for row in self.program.discovery.notices[before:]
            ]
        return said

    def hand_in(self, number):
        stream = self.chance.choice(list(self.STREAMS))
        ident = f"evt-{number}"
        self.rules[ident] = self.STREAMS[stream][0]
        self.program.hand_in(
            stream,
            ident=ident,
            left="5500m",
            destination=self.chance.randint(1, self.CELLS),
            **{"Idempotency-Key": f"key-{number}"},
        )

    def outage(self, endpoint):
        if endpoint.gate.is_set():
            endpoint.shut()
        else:
            endpoint.hear()


def test_a_call_arrives_with_its_last_byte_though_its_sender_is_killed_before_it_is_accepted():
    """The kernel's stamp was that of the close: it made a call seem late by up to two seconds."""
    arrivals = []

    def answer(*_request):
        arrivals.append(server.came.at)
        return 200, [], b""

    server = FakeHttpServer(answer)
    address = server.listener.getsockname()
    server.gate.clear()
    with socket.create_connection(address):  # the one that is accepted in any case
        until(lambda: server.accepted == 1)
        with socket.create_connection(address) as sender:
            sent_at = time.time()
            sender.sendall(b"GET /ping HTTP/1.1\r\nHost: endpoint\r\n\r\n")
            time.sleep(0.5)
        server.gate.set()
        until(lambda: arrivals)
    assert abs(arrivals[0] - sent_at) < SLACK_S


@pytest.mark.parametrize("seed", [1, 3])
def test_no_effect_happens_twice_whatever_receivers_and_processes_do(tmp_path, seed):
    """Sends whose connection came up late, of a process that stood still or was killed.

    Each had its turn to break it.
    """
    day = Day(tmp_path, seed)
    with day.program as node:
        for number in range(240):
            if number % 12 == 5:
                day.outage(day.chance.choice(day.endpoints))
            if number in (70, 150):
                node.process.send_signal(signal.SIGSTOP)
                time.sleep(0.9)
                node.process.send_signal(signal.SIGCONT)
            if number == 110:
                node.stop(signal.SIGKILL)
                node.start()
            day.hand_in(number)
            time.sleep(0.02)
        for endpoint in day.endpoints:
            endpoint.hear()
        until(lambda: not node.held(), 12.0)
    again = len(day.calls) - len({call.ident for call in day.calls})
    assert not broken(day.calls, day.rules, day.notices)
    assert again > 50 and len({call.ident for call in day.calls if call.ran}) > 100
