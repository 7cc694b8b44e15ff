"""The node as a separate process, started with the command of the deploy file."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

from support.agent import wait_for

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0


def free_port():
    """Return a free loopback port."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class Node:
    """One delivery node with its configuration and its state folder."""

    def __init__(self, record, folder, agent, settings, limits, name="n0"):
        self._record = record
        self._folder = folder
        self._agent = agent
        self._settings = settings
        self._limits = limits
        self._name = name
        self._run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.port = free_port()
        self.state = folder / f"state-{name}"
        self.state.mkdir()
        self.log_path = folder / f"{name}.log"
        self.process = None
        self._starts = 0

    def start(self, known):
        """Start the node with the list that it last had; return whether it became ready."""
        self._starts += 1
        listen = f"127.0.0.1:{self.port}"
        document = {
            "name": self._name,
            "listen": listen,
            "discovery": self._agent.address,
            "state": str(self.state),
            "seed": f"{0x8C1F30D27A5BE964 + self._starts:x}",
            "limits": self._limits,
            "known": known,
            "settings": self._settings,
        }
        path = self._folder / f"{self._name}.json"
        path.write_text(json.dumps(document))
        environment = os.environ | {
            "LB_NAME": self._name,
            "LB_LISTEN": listen,
            "LB_DISCOVERY": self._agent.address,
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(path),
        }
        self._record.add("node", f"{self._name} starts")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self._run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        is_ready = wait_for(self.is_ready, READY_TIMEOUT_S)
        self._record.add("node", f"{self._name} is {'ready' if is_ready else 'not ready'}")
        return is_ready

    def is_ready(self):
        """Return whether the node answers its health check with 200."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=1.0) as conn:
                conn.sendall(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
                return conn.recv(99).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        """Send the node a signal."""
        self._record.add("node", f"{self._name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the node and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def has_crashed(self):
        """Return whether the node has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def close(self):
        """End the node, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
