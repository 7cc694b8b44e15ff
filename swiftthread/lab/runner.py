"""One run: emulator, nodes and clients as processes, the script's timeline, the referee's verdict.

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

from swiftthread.lab import records, referee, scripts
from swiftthread.lab.load import DIGITS, LONGEST_US
from swiftthread.lab.records import clock

READY_S = 15.0  # s for a process of a run to be ready
START_AHEAD_MS = 300.0  # ms between "all are ready" and the first moment of the script
STOP_S = 3.7  # s from SIGTERM to SIGKILL, the platform's
BACK_MS = 600.0  # ms from a node's end to its next start, unless the step says otherwise
SAMPLE_S = 0.25  # s between two looks at the nodes' CPU and memory
# Ms: where a loop of the laboratory came later than this the figures are its own, not a node's
MOST_LAG_MS = 60.0
TREE = Path(__file__).parents[2]
KINDS = ("swiftthread", "once", "backoff", "aimd", "floor")


class Trouble(Exception):
    """A run that could not be made; the text says which part and why."""


def command_of(node):
    """The command line of a node: one of KINDS, or "exec:" and a command."""
    if node.startswith("exec:"):
        return shlex.split(node.removeprefix("exec:"))
    if node == "swiftthread":
        return [sys.executable, "-m", "swiftthread"]
    return [sys.executable, "-m", "swiftthread.lab", "relay", node]


class Process:
    """A process of ours in a session of its own, so that only we end it."""

    def __init__(self, name, command, folder, cpus=(), **more):
        self.name, self.command, self.log = name, command, folder / f"{name}.log"
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(command, stderr=out, start_new_session=True, **more)
        if cpus:
            # It has ended, or the machine will not pin; the run goes on.
            with contextlib.suppress(psutil.Error):
                psutil.Process(self.popen.pid).cpu_affinity(list(cpus))

    def tell(self, line):
        try:
            self.popen.stdin.write(line.encode() + b"\n")
            self.popen.stdin.flush()
        except OSError:
            raise Trouble(f"{self.name} has ended: {self.last_words()}") from None

    async def says(self):
        """Its next line of output."""
        with anyio.move_on_after(READY_S):
            line = await anyio.to_thread.run_sync(self.popen.stdout.readline, abandon_on_cancel=True)
            if line:
                return line.decode().strip()
        raise Trouble(f"{self.name} does not start: {self.last_words()}")

    def last_words(self):
        words = self.log.read_text(errors="replace").strip().splitlines()
        return words[-1] if words else "it says nothing"

    async def ended(self, seconds):
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


class Node:
    """One node of the run over all its lives."""

    def __init__(self, run, number, page):
        self.run, self.name, self.process = run, f"n{number}", None
        self.folder = run.folder / self.name
        (self.folder / "state").mkdir(parents=True)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = ("127.0.0.1", free.getsockname()[1])
        fleet = run.script.fleet
        conf = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": page["discovery"][number],
            "seed": f"{0x5EED0000 + 1000 * run.seed + number:016x}",
            "state": str(self.folder / "state"),
            "known": page["known"],
            "settings": scripts.settings_of(run.script, number),
            "limits": {
                "cores": 1.0,
                "memory_mb": fleet.memory_mb,
                "sockets": fleet.sockets,
                "disk_mb": fleet.disk_mb,
            },
        }
        self.conf = self.folder / "config.json"
        self.conf.write_text(json.dumps(conf))
        self.spent_ms = 0.0

    async def start(self):
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environ |= {"LB_CONFIG": str(self.conf), "PYTHONPATH": str(self.run.tree)}
        self.process = Process(
            self.name,
            command_of(self.run.node),
            self.run.folder,
            self.run.cpus_of(self),
            cwd=self.run.tree,
            env=environ,
            stdout=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
        )
        self.life = psutil.Process(self.process.popen.pid)
        with anyio.move_on_after(READY_S):
            while not self._healthy():
                if self.process.popen.poll() is not None:
                    raise Trouble(
                        f"node {self.name} ended with {self.process.popen.returncode}: "
                        f"{self.process.last_words()}"
                    )
                await anyio.sleep(0.02)
            self.run.note(records.Life(clock(), self.name, "ready"))
            return
        raise Trouble(f"node {self.name} is not ready after {READY_S:.0f} s: {self.process.last_words()}")

    def _healthy(self):
        try:
            with socket.create_connection(self.address, timeout=0.5) as conn:
                conn.sendall(b"GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                return conn.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def sample(self):
        try:
            cpu, memory = self.life.cpu_times(), self.life.memory_info().rss
            spent = 1000.0 * (cpu.user + cpu.system)
            self.run.note(
                records.Sampled(
                    clock(), self.name, self.spent_ms + spent, memory / 2**20, self.life.num_fds()
                )
            )
            return spent
        except psutil.Error:
            return 0.0  # between two lives

    async def step(self, step):
        if step.what == "freeze":
            os.kill(self.process.popen.pid, signal.SIGSTOP)
            await anyio.sleep(step.for_ms / 1000.0)
            os.kill(self.process.popen.pid, signal.SIGCONT)
            return
        self.spent_ms += self.sample()
        if step.what == "kill":
            self.run.note(records.Life(clock(), self.name, "killed"))
            self.process.kill()
        else:
            await self.stop()
        await anyio.sleep((step.for_ms or BACK_MS) / 1000.0)
        await self.start()

    async def stop(self):
        """SIGTERM and its end; the exit code, None when it had to be killed."""
        self.run.note(records.Life(clock(), self.name, "stopping"))
        self.process.popen.terminate()
        return await self.process.ended(STOP_S)


class Run:
    """Owner of all processes and files of one run."""

    def __init__(self, script, seed, node, folder, tree=TREE, cpus=()):
        self.script, self.seed, self.node, self.tree = script, seed, node, Path(tree)
        self.folder, self.cpus = Path(folder).absolute(), list(cpus)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes, self.nodes, self.t0 = [], [], 0.0
        self.book = records.Book(self.folder / "nodes.rows")
        (self.folder / "script.json").write_bytes(msgspec.json.encode(script))

    def note(self, row):
        self.book.write(row)

    def cpus_of(self, node):
        """The emulator has the first core, the clients the next ones, the nodes share the rest."""
        mine = self.cpus[1 + self.script.load.processes :]
        return [mine[int(node.name[1:]) % len(mine)]] if mine else ()

    async def make(self, progress=lambda text: None):
        """Run the script to its end; the result as a dictionary, the rows in the folder."""
        try:
            codes = await self._play(progress)
        finally:
            self._end()
        progress("judging")
        return self._result(codes)

    def _helper(self, name, *words, cpus=()):
        process = Process(
            name,
            [sys.executable, "-m", "swiftthread.lab", *words],
            self.folder,
            cpus,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(TREE)},
        )
        self.processes.append(process)
        return process

    async def _play(self, progress):
        script, load = self.script, self.script.load
        told = [str(self.folder / "script.json"), "--seed", str(self.seed)]
        emulator = self._helper(
            "emulator", "emulate", *told, "--rows", str(self.folder / "emulator.rows"), cpus=self.cpus[:1]
        )
        clients = [
            self._helper(
                f"load-{part}",
                "clients",
                *told,
                "--part",
                str(part),
                "--rows",
                str(self.folder / f"load-{part}.rows"),
                cpus=self.cpus[1 + part : 2 + part],
            )
            for part in range(load.processes)
        ]
        page = json.loads(await emulator.says())
        for client in clients:
            await client.says()
        self.nodes = [Node(self, number, page) for number in range(script.fleet.nodes)]
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(node.start)
        self.t0 = clock() + START_AHEAD_MS
        emulator.tell(f"go {self.t0}")
        places = ",".join("{}:{}".format(*node.address) for node in self.nodes)
        for client in clients:
            client.tell(f"go {self.t0} {page['feed']} {places}")
        async with anyio.create_task_group() as tasks:
            for step in script.step:
                if step.what in scripts.AT_NODES:
                    tasks.start_soon(self._at, step)
            tasks.start_soon(self._watch, tasks.cancel_scope, progress)
        codes = {}
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(self._stop, node, codes)
        for process in [*clients, emulator]:
            process.tell("stop")
        for process in [*clients, emulator]:
            if await process.ended(READY_S) is None:
                raise Trouble(f"{process.name} did not end")
        return codes

    async def _at(self, step):
        await anyio.sleep(max(0.0, self.t0 + step.at_ms - clock()) / 1000.0)
        await self.nodes[int(step.on.partition(":")[2])].step(step)

    async def _watch(self, scope, progress):
        """Sample the nodes until the script is over."""
        until, said = self.t0 + 1000.0 * (self.script.lasts_s + self.script.drain_s), 0
        while clock() < until:
            for node in self.nodes:
                node.sample()
            for process in self.processes:
                if process.popen.poll() is not None:
                    raise Trouble(f"{process.name} ended: {process.last_words()}")
            if (passed := int((clock() - self.t0) / 1000.0)) > said:
                said = passed
                progress(f"{said} of {self.script.lasts_s + self.script.drain_s:.0f} s")
            await anyio.sleep(SAMPLE_S)
        scope.cancel()

    async def _stop(self, node, codes):
        node.spent_ms += node.sample()
        codes[node.name] = await node.stop()

    def _end(self):
        for process in [*self.processes, *[node.process for node in self.nodes if node.process]]:
            process.kill()
        self.book.close()

    def _result(self, codes):
        rows = records.read(*sorted(self.folder.glob("*.rows")))
        case, breaches = referee.judge(self.script, rows)
        service, lag = referee.Service(case), defaultdict(float)
        histogram, fds, rss = HdrHistogram(1, LONGEST_US, DIGITS), 0, 0.0
        for row in rows:
            if isinstance(row, records.Lagged):
                lag[row.who] = max(lag[row.who], row.ms)
            elif isinstance(row, records.Spread):
                histogram.decode_and_add(row.encoded)
            elif isinstance(row, records.Sampled):
                fds, rss = max(fds, row.fds), max(rss, row.rss_mib)
        worst = max(lag, key=lag.get) if lag else None
        cpu = sum(node.spent_ms for node in self.nodes)
        result = {
            "script": self.script.title,
            "seed": self.seed,
            "node": self.node,
            "measure": round(service.measure(), 4),
            "breaches": [
                {"rule": b.rule, "at_ms": round(b.at - self.t0, 1), "text": b.text} for b in breaches
            ],
            "counts": dict(sorted(service.counts.items())),
            "hand_in_ms": {
                name: histogram.get_value_at_percentile(share) / 1000.0
                for name, share in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100))
            },
            "cpu_ms": round(cpu, 1),
            "cpu_ms_per_acked": round(cpu / max(1, service.counts["acked"]), 3),
            "rss_mib": round(rss, 1),
            "fds": fds,
            "lag_ms": {who: round(ms, 1) for who, ms in sorted(lag.items())},
            "void": f"the loop of {worst} came {lag[worst]:.0f} ms late"
            if worst and lag[worst] > MOST_LAG_MS
            else "",
            "exit_codes": codes,
            "t0": self.t0,
        }
        (self.folder / "result.json").write_text(json.dumps(result, indent=1))
        return result
