"""One run: emulator, nodes and clients as processes, the incident's timeline, the referee's verdict.

Every process that is started here is ended here, also when the run is cancelled.
"""

import contextlib
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
from collections import defaultdict
from pathlib import Path

import anyio
import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from swiftthread.lab import incident_file, referee, run_records
from swiftthread.lab.load import HISTOGRAM_DIGITS, HISTOGRAM_MAX_US
from swiftthread.lab.run_records import monotonic_ms

READY_TIMEOUT_S = 15.0  # s for a process of a run to be ready
START_DELAY_MS = 300.0  # ms between "all are ready" and the first moment of the incident
STOP_TIMEOUT_S = 3.7  # s from SIGTERM to SIGKILL, the platform's
RESTART_DELAY_MS = 600.0  # ms from a node's end to its next start, unless the step says otherwise
SAMPLE_INTERVAL_S = 0.25  # s between two looks at the nodes' CPU and memory
# Ms: where a loop of the laboratory came later than this the figures are its own, not a node's
MAX_LAG_MS = 60.0
SOURCE_TREE = Path(__file__).parents[2]
NODE_KINDS = ("swiftthread", "once", "backoff", "aimd", "floor")


class RunError(Exception):
    """A run that could not be made; the text says which part and why."""


def command_for(node):
    """The command line of a node: one of KINDS, or "exec:" and a command."""
    if node.startswith("exec:"):
        return shlex.split(node.removeprefix("exec:"))
    if node == "swiftthread":
        return [sys.executable, "-m", "swiftthread"]
    return [sys.executable, "-m", "swiftthread.lab", "relay", node]


class ManagedProcess:
    """A process of ours in a session of its own, so that only we end it."""

    def __init__(self, name, command, folder, cpus=(), **popen_options):
        self.name, self.command, self.log = name, command, folder / f"{name}.log"
        with open(self.log, "ab") as log_file:
            self.popen = subprocess.Popen(command, stderr=log_file, start_new_session=True, **popen_options)
        if cpus:
            # It has ended, or the machine will not pin; the run goes on.
            with contextlib.suppress(psutil.Error):
                psutil.Process(self.popen.pid).cpu_affinity(list(cpus))

    def send_line(self, line):
        try:
            self.popen.stdin.write(line.encode() + b"\n")
            self.popen.stdin.flush()
        except OSError:
            raise RunError(f"{self.name} has ended: {self.last_log_line()}") from None

    async def read_line(self):
        """Its next line of output."""
        with anyio.move_on_after(READY_TIMEOUT_S):
            line = await anyio.to_thread.run_sync(self.popen.stdout.readline, abandon_on_cancel=True)
            if line:
                return line.decode().strip()
        raise RunError(f"{self.name} does not start: {self.last_log_line()}")

    def last_log_line(self):
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it says nothing"

    async def wait_for_exit(self, seconds):
        """Its exit code once it ends by itself, else None; it is killed then."""
        with anyio.move_on_after(seconds):
            while self.popen.poll() is None:
                await anyio.sleep(0.02)
        if self.popen.poll() is None:
            self.kill()
            return None
        return self.popen.returncode

    def kill(self):
        if self.popen.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.popen.pid, signal.SIGKILL)
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe:
                # What was not written yet is for nobody.
                with contextlib.suppress(OSError):
                    pipe.close()


class NodeProcess:
    """One node of the run over all its lives."""

    def __init__(self, run, number, addresses):
        self.run, self.name, self.process = run, f"n{number}", None
        self.folder = run.folder / self.name
        (self.folder / "state").mkdir(parents=True)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.address = ("127.0.0.1", listener.getsockname()[1])
        fleet = run.incident.fleet
        configuration = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": addresses["discovery"][number],
            "seed": f"{0x5EED0000 + 1000 * run.seed + number:016x}",
            "state": str(self.folder / "state"),
            "known": addresses["known"],
            "settings": incident_file.settings_for(run.incident, number),
            "limits": {
                "cores": 1.0,
                "memory_mb": fleet.memory_mb,
                "sockets": fleet.sockets,
                "disk_mb": fleet.disk_mb,
            },
        }
        self.configuration = self.folder / "config.json"
        self.configuration.write_text(json.dumps(configuration))
        self.cpu_ms = 0.0

    async def start(self):
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(self.configuration), "PYTHONPATH": str(self.run.tree)}
        self.process = ManagedProcess(
            self.name,
            command_for(self.run.node),
            self.run.folder,
            self.run.cores_for(self),
            cwd=self.run.tree,
            env=environment,
            stdout=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
        )
        self.process_info = psutil.Process(self.process.popen.pid)
        with anyio.move_on_after(READY_TIMEOUT_S):
            while not self._is_healthy():
                if self.process.popen.poll() is not None:
                    raise RunError(
                        f"node {self.name} ended with {self.process.popen.returncode}: "
                        f"{self.process.last_log_line()}"
                    )
                await anyio.sleep(0.02)
            self.run.record(run_records.NodeLifecycleChanged(monotonic_ms(), self.name, "ready"))
            return
        raise RunError(
            f"node {self.name} is not ready after {READY_TIMEOUT_S:.0f} s: {self.process.last_log_line()}"
        )

    def _is_healthy(self):
        try:
            with socket.create_connection(self.address, timeout=0.5) as connection:
                connection.sendall(b"GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def sample(self):
        try:
            cpu_times, memory = self.process_info.cpu_times(), self.process_info.memory_info().rss
            cpu_ms = 1000.0 * (cpu_times.user + cpu_times.system)
            self.run.record(
                run_records.ProcessSampled(
                    monotonic_ms(),
                    self.name,
                    self.cpu_ms + cpu_ms,
                    memory / 2**20,
                    self.process_info.num_fds(),
                )
            )
            return cpu_ms
        except psutil.Error:
            return 0.0  # between two lives

    async def step(self, step):
        if step.what == "freeze":
            os.kill(self.process.popen.pid, signal.SIGSTOP)
            await anyio.sleep(step.for_ms / 1000.0)
            os.kill(self.process.popen.pid, signal.SIGCONT)
            return
        self.cpu_ms += self.sample()
        if step.what == "kill":
            self.run.record(run_records.NodeLifecycleChanged(monotonic_ms(), self.name, "killed"))
            self.process.kill()
        else:
            await self.stop()
        await anyio.sleep((step.for_ms or RESTART_DELAY_MS) / 1000.0)
        await self.start()

    async def stop(self):
        """SIGTERM and its end; the exit code, None when it had to be killed."""
        self.run.record(run_records.NodeLifecycleChanged(monotonic_ms(), self.name, "stopping"))
        self.process.popen.terminate()
        return await self.process.wait_for_exit(STOP_TIMEOUT_S)


class Run:
    """Owner of all processes and files of one run."""

    def __init__(self, incident, seed, node, folder, tree=SOURCE_TREE, cpus=()):
        self.incident, self.seed, self.node, self.tree = incident, seed, node, Path(tree)
        self.folder, self.cpus = Path(folder).absolute(), list(cpus)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes, self.nodes, self.t0 = [], [], 0.0
        self.record_writer = run_records.RecordWriter(self.folder / "nodes.rows")
        (self.folder / "script.json").write_bytes(msgspec.json.encode(incident))

    def record(self, row):
        self.record_writer.write(row)

    def cores_for(self, node):
        """The emulator has the first core, the clients the next ones, the nodes share the rest."""
        mine = self.cpus[1 + self.incident.load.processes :]
        return [mine[int(node.name[1:]) % len(mine)]] if mine else ()

    async def execute(self, progress=lambda text: None):
        """Run the incident to its end; the result as a dictionary, the records in the folder."""
        try:
            exit_codes = await self._play(progress)
        finally:
            self._clean_up()
        progress("judging")
        return self._result(exit_codes)

    def _start_lab_process(self, name, *arguments, cpus=()):
        process = ManagedProcess(
            name,
            [sys.executable, "-m", "swiftthread.lab", *arguments],
            self.folder,
            cpus,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(SOURCE_TREE)},
        )
        self.processes.append(process)
        return process

    async def _play(self, progress):
        incident, load = self.incident, self.incident.load
        common_arguments = [str(self.folder / "script.json"), "--seed", str(self.seed)]
        emulator = self._start_lab_process(
            "emulator",
            "emulate",
            *common_arguments,
            "--rows",
            str(self.folder / "emulator.rows"),
            cpus=self.cpus[:1],
        )
        clients = [
            self._start_lab_process(
                f"load-{part}",
                "clients",
                *common_arguments,
                "--part",
                str(part),
                "--rows",
                str(self.folder / f"load-{part}.rows"),
                cpus=self.cpus[1 + part : 2 + part],
            )
            for part in range(load.processes)
        ]
        addresses = json.loads(await emulator.read_line())
        for client in clients:
            await client.read_line()
        self.nodes = [NodeProcess(self, number, addresses) for number in range(incident.fleet.nodes)]
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(node.start)
        self.t0 = monotonic_ms() + START_DELAY_MS
        emulator.send_line(f"go {self.t0}")
        node_addresses = ",".join("{}:{}".format(*node.address) for node in self.nodes)
        for client in clients:
            client.send_line(f"go {self.t0} {addresses['feed']} {node_addresses}")
        async with anyio.create_task_group() as tasks:
            for step in incident.step:
                if step.what in incident_file.NODE_FAULTS:
                    tasks.start_soon(self._run_node_step, step)
            tasks.start_soon(self._sample_nodes, tasks.cancel_scope, progress)
        exit_codes = {}
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(self._stop_node, node, exit_codes)
        for process in [*clients, emulator]:
            process.send_line("stop")
        for process in [*clients, emulator]:
            if await process.wait_for_exit(READY_TIMEOUT_S) is None:
                raise RunError(f"{process.name} did not end")
        return exit_codes

    async def _run_node_step(self, step):
        await anyio.sleep(max(0.0, self.t0 + step.at_ms - monotonic_ms()) / 1000.0)
        await self.nodes[int(step.on.partition(":")[2])].step(step)

    async def _sample_nodes(self, scope, progress):
        """Sample the nodes until the incident is over."""
        ends_at, reported_s = self.t0 + 1000.0 * (self.incident.lasts_s + self.incident.drain_s), 0
        while monotonic_ms() < ends_at:
            for node in self.nodes:
                node.sample()
            for process in self.processes:
                if process.popen.poll() is not None:
                    raise RunError(f"{process.name} ended: {process.last_log_line()}")
            if (elapsed_s := int((monotonic_ms() - self.t0) / 1000.0)) > reported_s:
                reported_s = elapsed_s
                progress(f"{reported_s} of {self.incident.lasts_s + self.incident.drain_s:.0f} s")
            await anyio.sleep(SAMPLE_INTERVAL_S)
        scope.cancel()

    async def _stop_node(self, node, exit_codes):
        node.cpu_ms += node.sample()
        exit_codes[node.name] = await node.stop()

    def _clean_up(self):
        for process in [*self.processes, *[node.process for node in self.nodes if node.process]]:
            process.kill()
        self.record_writer.close()

    def _result(self, exit_codes):
        rows = run_records.read_records(*sorted(self.folder.glob("*.rows")))
        evidence, breaches = referee.judge(self.incident, rows)
        service, lag = referee.ServiceMeasure(evidence), defaultdict(float)
        histogram, open_descriptors, rss_mib = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS), 0, 0.0
        for row in rows:
            if isinstance(row, run_records.EventLoopLagged):
                lag[row.process] = max(lag[row.process], row.lag_ms)
            elif isinstance(row, run_records.LatencyHistogramRecorded):
                histogram.decode_and_add(row.encoded)
            elif isinstance(row, run_records.ProcessSampled):
                open_descriptors, rss_mib = (
                    max(open_descriptors, row.open_descriptors),
                    max(rss_mib, row.rss_mib),
                )
        worst_process = max(lag, key=lag.get) if lag else None
        cpu_ms = sum(node.cpu_ms for node in self.nodes)
        result = {
            "script": self.incident.title,
            "seed": self.seed,
            "node": self.node,
            "measure": round(service.measure(), 4),
            "breaches": [
                {"rule": breach.rule, "at_ms": round(breach.at - self.t0, 1), "text": breach.text}
                for breach in breaches
            ],
            "counts": dict(sorted(service.counts.items())),
            "hand_in_ms": {
                name: histogram.get_value_at_percentile(percentile) / 1000.0
                for name, percentile in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100))
            },
            "cpu_ms": round(cpu_ms, 1),
            "cpu_ms_per_acked": round(cpu_ms / max(1, service.counts["acked"]), 3),
            "rss_mib": round(rss_mib, 1),
            "fds": open_descriptors,
            "lag_ms": {process: round(lag_ms, 1) for process, lag_ms in sorted(lag.items())},
            "void": f"the loop of {worst_process} came {lag[worst_process]:.0f} ms late"
            if worst_process and lag[worst_process] > MAX_LAG_MS
            else "",
            "exit_codes": exit_codes,
            "t0": self.t0,
        }
        (self.folder / "result.json").write_text(json.dumps(result, indent=1))
        return result
