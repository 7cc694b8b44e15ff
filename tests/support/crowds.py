"""Crowds of misbehaving clients in processes of their own, beside ordinary clients of the test."""

import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager

# A client waits for its response for this time, which includes the time that it takes to connect.
RESPONSE_TIMEOUT_S = 0.4
READ_BYTES = 999


def process_memory_mb(process, field):
    """Return a memory size of a process in MiB: `VmRSS`, resident now, or `VmHWM`, the highest so far."""
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(f"{field}:")) / 1024.0


@contextmanager
def crowd(node, kind, clients, seconds, stream="notice", destination=1):
    """Run a crowd against a node, in a process of its own, for the duration of the `with` block."""
    command = [sys.executable, "-m", "swiftthread.lab", "crowd", f"127.0.0.1:{node.port}"]
    command += ["--kind", kind, "--clients", str(clients), "--seconds", str(seconds)]
    command += ["--stream", stream, "--destination", str(destination)]
    process = subprocess.Popen(command)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


class OrdinaryClients:
    """Threads that submit one event after the other, each on a new connection, until `stop`.

    Attributes:
        answered: Ids of the events that got a response within RESPONSE_TIMEOUT_S.
        accepted: Those of them whose response was 202.
        unanswered: Ids of the other events. Their clients closed the connection after that time.
    """

    def __init__(self, node, clients=4, pause_s=0.05):
        self.answered = set()
        self.accepted = set()
        self.unanswered = set()
        self._node = node
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True) for number in range(clients)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout=5)

    def _run(self, number):
        for index in range(10**6):
            if self._stopped.wait(self._pause_s):
                return
            self._submit(f"ordinary-{number}-{index}")

    def _submit(self, event_id):
        request = self._node.submission_request(body=b"", ident=event_id, left="4000m")
        deadline = time.monotonic() + RESPONSE_TIMEOUT_S
        try:
            with socket.create_connection(("127.0.0.1", self._node.port), RESPONSE_TIMEOUT_S) as conn:
                conn.sendall(request)
                conn.settimeout(max(0.001, deadline - time.monotonic()))
                response = conn.recv(READ_BYTES)
        except OSError:
            response = b""
        if not response:
            self.unanswered.add(event_id)
            return
        self.answered.add(event_id)
        if response.startswith(b"HTTP/1.1 202"):
            self.accepted.add(event_id)

    @property
    def answered_share(self):
        """Share of the submissions that got a response in time."""
        return len(self.answered) / max(1, len(self.answered) + len(self.unanswered))
