"""The node as a process, with its configuration, its state folder and a fake discovery server."""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from itertools import count

from support.fake_servers import FakeDiscovery
from swiftthread.storage.records import ACCEPTED, ENDED, scan_records


def stream_profile(name, effect, **more):
    """Return a stream type as in the settings key `Profiles`; `more` adds or replaces keys."""
    return {"Name": name, "Effect": effect, "Aim": 1.5, "Deadline": 5.0, "Value": 1.0, "Group": "all"} | more


class NodeProcess:
    """A `python -m swiftthread` process, its folder and its discovery server.

    `known` says whether the configuration contains the initial endpoint list. `limits` and `settings` replace
    the defaults of these sections; a dict in `settings` is merged into its default.
    """

    SETTINGS = {
        "Balancers": 1,
        "Position": 0,
        "Kinds": ["plain"],
        "Localities": ["east", "west"],
        "Weights": "off",
        "Realms": [],
        "Period": 0.005,
        "Discovery": "push",
        "Stats": {"Fields": [], "How": "off"},
        "Domain": {"CallsOut": 8, "KindBatch": [1], "RoutesApart": [False], "Carriage": [0.0, 0.0]},
        "Obligations": {"FallMultiple": 2.0, "ColdFrom": 0.2, "WarmUp": 2.0, "KeyRest": 0.3},
        "Permissions": {
            "TryLimit": 6,
            "MaxOpen": 50,
            "Keepalive": 5.0,
            "ConnectTimeout": 0.5,
            "Probes": True,
            "RetryAfter": True,
            "MaxRetryAfter": 3.0,
        },
        "Profiles": [
            stream_profile("notice", "retryable"),
            stream_profile("posting", "dedup", Window=3.0),
            stream_profile("once", "fragile"),
            stream_profile("turn", "retryable", InTurn=True),
        ],
    }

    def __init__(self, folder, *endpoints, known=True, limits=(), environ=None, **settings):
        self.folder = folder
        self.discovery = FakeDiscovery(*[endpoint.entry() for endpoint in endpoints])
        with socket.create_server(("127.0.0.1", 0)) as sock:
            self.port = sock.getsockname()[1]
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        merged = {
            name: value | settings.get(name, {}) if isinstance(value, dict) else settings.get(name, value)
            for name, value in self.SETTINGS.items()
        }
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "state": str(self.state),
            "settings": merged,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3} | dict(limits),
        }
        if known:
            config["known"] = self.discovery.list_document
        self.config_path = folder / "config.json"
        self.config = config
        self.config_path.write_text(json.dumps(config))
        self.event_numbers = count(1)
        self.process = None
        self.environ = environ or {}
        self.module = "swiftthread"  # the module that the process runs
        self.working_directory = None  # None: the working directory of the tests

    def __enter__(self):
        return self.start()

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.discovery.listener.close()

    def reload(self, text=None, **changes):
        """Replace the configuration by `text`, or change the given keys, and send SIGHUP."""
        new_path = self.folder / "config.new"
        new_path.write_text(text or json.dumps(self.config | changes))
        new_path.replace(self.config_path)
        self.process.send_signal(signal.SIGHUP)

    def start(self):
        if self.process is not None:
            self.process.stderr.close()
        self.process = subprocess.Popen(
            [sys.executable, "-m", self.module],
            stderr=subprocess.PIPE,
            cwd=self.working_directory,
            env=os.environ | {"LB_CONFIG": str(self.config_path)} | self.environ,
        )
        wait_until(lambda: self.is_healthy())
        return self

    def is_healthy(self):
        assert self.process.poll() is None, self.process.stderr.read().decode()
        try:
            return self.raw(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def open(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=5)

    def raw(self, data):
        """Send bytes on a new connection, and return the part of the response that one read returns."""
        with self.open() as conn:
            conn.sendall(data)
            return conn.recv(4096)

    def submission_request(
        self, stream="notice", body=b"hello", destination=1, left="4000m", ident=None, **headers
    ):
        """Return a client's request; a header given as None is omitted.

        `left` is the value of X-Remaining, the time until the event expires.
        """
        ident = ident or f"evt-{next(self.event_numbers)}"
        head = {
            "Host": "api.internal",
            "X-Txn": ident,
            "X-Lane": stream.partition("/")[0],
            "X-Remaining": left,
            "X-Route-To": f"dest={destination}",
            "Content-Length": len(body),
        } | headers
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items() if value is not None)
        return f"POST /{stream} HTTP/1.1\r\n{lines}\r\n".encode() + body

    def submit(self, *args, **more):
        """Submit an event, and return the status of the response.

        The arguments are those of `submission_request`.
        """
        return int(self.raw(self.submission_request(*args, **more)).split()[1])

    def final_outcomes(self):
        """Return the final outcome by event id, as discovery was notified of them."""
        return {
            notification["message"]: notification["outcome"] for notification in self.discovery.notifications
        }

    def stop(self, signal_number=signal.SIGTERM):
        self.process.send_signal(signal_number)
        return self.process.wait(timeout=10)

    def stop_and_read_log(self):
        """Stop the process, and return its log output."""
        self.stop()
        return self.process.stderr.read().decode()

    def log_path(self):
        return self.state / "ledger"

    def has_logged_end(self, event_id):
        """Return whether the write-ahead log contains the record with which this event ends."""
        return b'E["%s"]' % event_id.encode() in self.log_path().read_bytes()

    def pending_event_ids(self):
        """Return the ids of the events that are pending according to the write-ahead log."""
        is_pending_by_id = {}
        for _, _, kind, payload in scan_records(self.log_path().read_bytes()):
            if kind in (ACCEPTED, ENDED):
                fields = json.loads(
                    payload[4 : 4 + struct.unpack_from("<I", payload)[0]] if kind == ACCEPTED else payload
                )
                is_pending_by_id[fields[0]] = kind == ACCEPTED
        return {event_id for event_id, is_pending in is_pending_by_id.items() if is_pending}


def exchange(conn, request):
    """Send a request on an open connection, and return the part of the response that one read returns."""
    conn.sendall(request)
    return conn.recv(999)


def wait_until(condition, timeout_s=8.0):
    """Wait until a condition holds; raise AssertionError if it does not within `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)
