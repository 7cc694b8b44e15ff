"""Node processes of a run: their configuration, start, restarts and stop."""

import contextlib
import json
import os
import shlex
import signal
import socket
import sys
from enum import StrEnum
from pathlib import Path
from typing import Any, Protocol

import anyio
import msgspec
import psutil

from swiftthread.lab.errors import ProcessError
from swiftthread.lab.incident import Incident, NodeFault, Step
from swiftthread.lab.node_settings import settings_for
from swiftthread.lab.outcomes import NodeState
from swiftthread.lab.run_records import AnyRecord, NodeLifecycleChanged, ProcessSampled, monotonic_ms
from swiftthread.lab.runner.processes import POLL_INTERVAL_S, READY_TIMEOUT_S, ManagedProcess

# Time between SIGTERM and SIGKILL. The platform allows a node the same time.
STOP_TIMEOUT_S = 3.7
# Time between a node's exit and its restart, if the step gives no `for_ms`.
RESTART_DELAY_MS = 600.0
# Timeout for the response to a health check.
HEALTH_CHECK_TIMEOUT_S = 0.5
# Random seed of node 0 in a run with seed 0.
NODE_SEED_BASE = 0x5EED0000
# Distance between the node seeds of runs with consecutive seeds. It exceeds the number of nodes in a run, so
# that no two nodes have the same seed.
NODE_SEEDS_PER_RUN = 1000
# Prefix that marks a node as an arbitrary command.
COMMAND_PREFIX = "exec:"
BYTES_PER_MIB = 2**20
# Idle connections of a crowd: more than a node with the usual limit of descriptors can hold.
IDLE_CLIENTS = 300


class NodeKind(StrEnum):
    """Programs that can run as a node. Arbitrary commands can run as well, see `COMMAND_PREFIX`."""

    SWIFTTHREAD = "swiftthread"
    ONCE = "once"
    BACKOFF = "backoff"
    AIMD = "aimd"
    FLOOR = "floor"


def node_command(node: str) -> list[str]:
    """Return the command line that starts a node.

    Args:
        node: A `NodeKind`, or `exec:` followed by a command.
    """
    if node.startswith(COMMAND_PREFIX):
        return shlex.split(node.removeprefix(COMMAND_PREFIX))
    if node == NodeKind.SWIFTTHREAD:
        return [sys.executable, "-m", "swiftthread"]
    return [sys.executable, "-m", "swiftthread.lab", "relay", node]


class EmulatorAddresses(msgspec.Struct):
    """The addresses on which the emulator listens, as it prints them on standard output.

    Attributes:
        discovery: The address of each node's discovery server, by node number.
        known: The initial endpoint list in the nodes' configuration.
        feed: The address of the notification feed for clients.
    """

    discovery: list[str]
    known: dict[str, Any]
    feed: str


class NodeHost(Protocol):
    """The part of `Run` that its node processes use."""

    incident: Incident
    seed: int
    node: str
    tree: Path
    folder: Path

    def record(self, record: AnyRecord) -> None:
        """Append a record to the run's records."""

    def cores_for(self, number: int) -> list[int]:
        """Return the cores that the node with this number is pinned to. An empty list means all cores."""


class NodeProcess:
    """One node of a run, across all its restarts.

    Attributes:
        name: `n` followed by the node's number.
        address: The address on which the node listens.
        process: The node's current process. None before the first start.
        cpu_ms: CPU time of the node's previous processes, and of the current one once it is being stopped.
    """

    def __init__(self, run: NodeHost, number: int, addresses: EmulatorAddresses) -> None:
        self.run = run
        self.number = number
        self.name = f"n{number}"
        self.process: ManagedProcess | None = None
        self.process_info: psutil.Process | None = None
        self.cpu_ms = 0.0
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.address: tuple[str, int] = ("127.0.0.1", listener.getsockname()[1])
        state_folder = run.folder / self.name / "state"
        state_folder.mkdir(parents=True)
        self.configuration_path = run.folder / self.name / "config.json"
        self.configuration_path.write_text(json.dumps(self._configuration(addresses, state_folder)))

    def _configuration(self, addresses: EmulatorAddresses, state_folder: Path) -> dict[str, Any]:
        """Return the node's configuration as a JSON object."""
        fleet = self.run.incident.fleet
        seed = NODE_SEED_BASE + NODE_SEEDS_PER_RUN * self.run.seed + self.number
        return {
            "name": self.name,
            "listen": self.listen_address(),
            "discovery": addresses.discovery[self.number],
            "seed": f"{seed:016x}",
            "state": str(state_folder),
            "known": addresses.known,
            "settings": settings_for(self.run.incident, self.number),
            "limits": {
                "cores": 1.0,
                "memory_mb": fleet.memory_mb,
                "sockets": fleet.sockets,
                "disk_mb": fleet.disk_mb,
            },
        }

    def listen_address(self) -> str:
        """Return the node's address as `host:port`."""
        host, port = self.address
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start the node's process and wait until it passes a health check.

        Raises:
            ProcessError: The process exited, or did not pass a health check within `READY_TIMEOUT_S`.
        """
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(self.configuration_path), "PYTHONPATH": str(self.run.tree)}
        process = ManagedProcess(
            self.name,
            node_command(self.run.node),
            self.run.folder,
            environment=environment,
            cores=self.run.cores_for(self.number),
            working_folder=self.run.tree,
        )
        self.process = process
        self.process_info = psutil.Process(process.popen.pid)
        with anyio.move_on_after(READY_TIMEOUT_S):
            await self._wait_until_healthy(process)
            self._record_state(NodeState.READY)
            return
        raise ProcessError(
            self.name,
            f"node {self.name} not ready after {READY_TIMEOUT_S:.0f} s: {process.last_log_line()}",
        )

    async def _wait_until_healthy(self, process: ManagedProcess) -> None:
        while not self._is_healthy():
            if process.has_exited():
                raise ProcessError(
                    self.name,
                    f"node {self.name} exited with {process.popen.returncode}: {process.last_log_line()}",
                )
            await anyio.sleep(POLL_INTERVAL_S)

    def _is_healthy(self) -> bool:
        try:
            with socket.create_connection(self.address, timeout=HEALTH_CHECK_TIMEOUT_S) as connection:
                connection.sendall(b"GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _current_process(self) -> ManagedProcess:
        assert self.process is not None, f"{self.name} was not started"
        return self.process

    def _record_state(self, state: NodeState) -> None:
        self.run.record(NodeLifecycleChanged(monotonic_ms(), self.name, state))

    def sample(self) -> float:
        """Record the node's CPU time and memory, and return the CPU time of its current process in ms."""
        assert self.process_info is not None, f"{self.name} was not started"
        try:
            cpu_times = self.process_info.cpu_times()
            rss_bytes = self.process_info.memory_info().rss
            open_descriptors = self.process_info.num_fds()
        except psutil.Error:
            # The process has exited, and the node has not been restarted yet.
            return 0.0
        cpu_ms = 1000.0 * (cpu_times.user + cpu_times.system)
        total_cpu_ms = self.cpu_ms + cpu_ms
        rss_mib = rss_bytes / BYTES_PER_MIB
        self.run.record(ProcessSampled(monotonic_ms(), self.name, total_cpu_ms, rss_mib, open_descriptors))
        return cpu_ms

    async def apply(self, step: Step) -> None:
        """Apply a step of the incident to the node: freeze and resume it, or stop and restart it."""
        if step.what == NodeFault.FREEZE:
            await self._freeze(step.for_ms)
            return
        if step.what == NodeFault.RELOAD:
            self._send_signal(signal.SIGHUP)
            return
        if step.what == NodeFault.CROWD:
            await self._hold_idle_clients(step.for_ms)
            return
        if step.what == NodeFault.MISBEHAVING_CLIENTS:
            await self._run_crowd(step)
            return
        self.accumulate_cpu_time()
        if step.what == NodeFault.KILL:
            self._record_state(NodeState.KILLED)
            self._current_process().kill()
        else:
            await self.stop()
        await anyio.sleep((step.for_ms or RESTART_DELAY_MS) / 1000.0)
        await self.start()

    async def _freeze(self, duration_ms: float) -> None:
        self._send_signal(signal.SIGSTOP)
        await anyio.sleep(duration_ms / 1000.0)
        self._send_signal(signal.SIGCONT)

    def _send_signal(self, number: signal.Signals) -> None:
        # Another step may have stopped the process; `Popen.send_signal` does nothing then.
        self._current_process().popen.send_signal(number)

    async def _hold_idle_clients(self, duration_ms: float) -> None:
        with contextlib.ExitStack() as connections:
            for _ in range(IDLE_CLIENTS):
                connection = connections.enter_context(socket.socket())
                connection.setblocking(False)
                connection.connect_ex(self.address)
            await anyio.sleep(duration_ms / 1000.0)

    async def _run_crowd(self, step: Step) -> None:
        incident = self.run.incident
        command = [sys.executable, "-m", "swiftthread.lab", "crowd", self.listen_address()]
        command += ["--kind", step.crowd, "--clients", str(step.clients)]
        command += ["--seconds", str(step.for_ms / 1000.0), "--seed", str(self.run.seed)]
        command += ["--stream", incident.stream[0].name]
        command += ["--destination", str(incident.destination[0].number)]
        await anyio.run_process(command, check=False, env=os.environ | {"PYTHONPATH": str(self.run.tree)})

    def accumulate_cpu_time(self) -> None:
        """Add the CPU time of the current process to `cpu_ms`; to be called before the process is stopped."""
        self.cpu_ms += self.sample()

    async def stop(self) -> int | None:
        """Send SIGTERM to the node and return its exit code, or None if it had to be killed."""
        self._record_state(NodeState.STOPPING)
        process = self._current_process()
        process.popen.terminate()
        return await process.wait_for_exit(STOP_TIMEOUT_S)
