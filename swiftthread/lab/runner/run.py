"""One run of an incident: starts the emulator, clients and nodes, and applies the incident's timeline."""

import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import anyio
import msgspec

from swiftthread.lab import referee, run_records
from swiftthread.lab.builds import SOURCE_TREE
from swiftthread.lab.errors import ProcessError
from swiftthread.lab.incident import Incident, Step
from swiftthread.lab.incident_file import NODE_FAULTS
from swiftthread.lab.run_records import monotonic_ms
from swiftthread.lab.runner.nodes import EmulatorAddresses, NodeProcess
from swiftthread.lab.runner.processes import READY_TIMEOUT_S, ManagedProcess
from swiftthread.lab.runner.result import RunDescription, RunResult, build_result

# Time between the readiness of all processes and the start of the load.
START_DELAY_MS = 300.0
# Time between two samples of the nodes' CPU time and memory.
SAMPLE_INTERVAL_S = 0.25
# The file in a run's folder that holds the incident, and the pattern of its record files.
INCIDENT_FILE = "script.json"
RECORD_FILES = "*.rows"

ReportProgress = Callable[[str], None]


def read_folder_records(folder: Path) -> list[run_records.AnyRecord]:
    """Return all records in a run's folder in order of time."""
    return run_records.read_records(*sorted(folder.glob(RECORD_FILES)))


def _ignore_progress(text: str) -> None:
    """Discard progress reports."""


class Run:
    """The owner of all processes and files of one run.

    Every process that it starts is stopped before `execute` returns or raises, even if the run is cancelled.

    Attributes:
        incident: The incident to run.
        seed: The random seed.
        node: The program that runs as each node, see `node_command`.
        folder: The folder for the run's files.
        tree: The source tree from which the nodes run.
        cores: The cores that the processes are pinned to. Empty means no pinning.
        started_at_ms: The time on the monotonic clock at which the load starts. 0 until the load is started.
    """

    def __init__(
        self,
        incident: Incident,
        seed: int,
        node: str,
        folder: Path,
        tree: Path = SOURCE_TREE,
        cores: Sequence[int] = (),
    ) -> None:
        self.incident = incident
        self.seed = seed
        self.node = node
        self.folder = Path(folder).absolute()
        self.tree = Path(tree)
        self.cores = list(cores)
        self.started_at_ms = 0.0
        self.processes: list[ManagedProcess] = []
        self.nodes: list[NodeProcess] = []
        self.folder.mkdir(parents=True, exist_ok=True)
        self.record_writer = run_records.RecordWriter(self.folder / "nodes.rows")
        (self.folder / INCIDENT_FILE).write_bytes(msgspec.json.encode(incident))

    def record(self, record: run_records.AnyRecord) -> None:
        """Append a record to the run's records."""
        self.record_writer.write(record)

    def cores_for(self, number: int) -> list[int]:
        """Return the cores that the node with this number is pinned to. An empty list means all cores.

        The emulator is pinned to the first core and each client process to one of the next cores. The nodes
        share the remaining cores.
        """
        node_cores = self.cores[1 + self.incident.load.processes :]
        return [node_cores[number % len(node_cores)]] if node_cores else []

    async def execute(self, progress: ReportProgress = _ignore_progress) -> RunResult:
        """Run the incident, judge its records, and write `result.json`.

        Args:
            progress: Called with a short text after each second of the run.

        Raises:
            RunError: A process did not start, exited too early, or did not exit when the run was over.
        """
        try:
            exit_codes = await self._run_incident(progress)
        finally:
            self._clean_up()
        progress("judging")
        result = self._judge_run(exit_codes)
        result.write(self.folder)
        return result

    async def _run_incident(self, progress: ReportProgress) -> dict[str, int | None]:
        """Run all processes through the incident, and return the exit code of each node by its name."""
        emulator = self._start_emulator()
        clients = [self._start_clients(index) for index in range(self.incident.load.processes)]
        addresses = msgspec.json.decode(await emulator.read_line(), type=EmulatorAddresses)
        for process in clients:
            await process.read_line()
        await self._start_nodes(addresses)
        self._start_load(emulator, clients, addresses)
        await self._run_timeline(progress)
        exit_codes = await self._stop_nodes()
        await self._stop_processes([*clients, emulator])
        return exit_codes

    def _start_emulator(self) -> ManagedProcess:
        return self._start_process("emulator", "emulate", [], self.cores[:1])

    def _start_clients(self, index: int) -> ManagedProcess:
        cores = self.cores[1 + index : 2 + index]
        return self._start_process(f"load-{index}", "clients", ["--part", str(index)], cores)

    def _start_process(
        self, name: str, command: str, arguments: list[str], cores: list[int]
    ) -> ManagedProcess:
        """Start a laboratory process that writes its records to a file named after it."""
        incident_path = str(self.folder / INCIDENT_FILE)
        records_path = str(self.folder / f"{name}.rows")
        common_arguments = [incident_path, "--seed", str(self.seed), "--rows", records_path]
        process = ManagedProcess(
            name,
            [sys.executable, "-m", "swiftthread.lab", command, *common_arguments, *arguments],
            self.folder,
            environment=os.environ | {"PYTHONPATH": str(SOURCE_TREE)},
            cores=cores,
            has_pipes=True,
        )
        self.processes.append(process)
        return process

    async def _start_nodes(self, addresses: EmulatorAddresses) -> None:
        self.nodes = [NodeProcess(self, number, addresses) for number in range(self.incident.fleet.nodes)]
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(node.start)

    def _start_load(
        self, emulator: ManagedProcess, clients: list[ManagedProcess], addresses: EmulatorAddresses
    ) -> None:
        """Send the start time of the load to the emulator and the client processes."""
        self.started_at_ms = monotonic_ms() + START_DELAY_MS
        node_addresses = ",".join(node.listen_address() for node in self.nodes)
        emulator.send_line(f"go {self.started_at_ms}")
        for process in clients:
            process.send_line(f"go {self.started_at_ms} {addresses.feed} {node_addresses}")

    async def _run_timeline(self, progress: ReportProgress) -> None:
        """Apply the steps that affect nodes, and sample the nodes, until the end of the incident."""
        async with anyio.create_task_group() as tasks:
            for step in self.incident.step:
                if step.what in NODE_FAULTS:
                    tasks.start_soon(self._run_node_step, step)
            await self._sample_until_end(progress)
            tasks.cancel_scope.cancel()

    async def _run_node_step(self, step: Step) -> None:
        await anyio.sleep(max(0.0, self.started_at_ms + step.at_ms - monotonic_ms()) / 1000.0)
        number = int(step.on.removeprefix("node:"))
        await self.nodes[number].apply(step)

    async def _sample_until_end(self, progress: ReportProgress) -> None:
        """Sample the nodes and check the laboratory processes until the end of the incident.

        Raises:
            ProcessError: A laboratory process exited.
        """
        duration_s = self.incident.duration_s
        ends_at = self.started_at_ms + 1000.0 * duration_s
        reported_s = 0
        while monotonic_ms() < ends_at:
            for node in self.nodes:
                node.sample()
            self._check_processes()
            elapsed_s = int((monotonic_ms() - self.started_at_ms) / 1000.0)
            if elapsed_s > reported_s:
                reported_s = elapsed_s
                progress(f"{reported_s} of {duration_s:.0f} s")
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _check_processes(self) -> None:
        for process in self.processes:
            if process.has_exited():
                raise ProcessError(process.name, f"{process.name} exited: {process.last_log_line()}")

    async def _stop_nodes(self) -> dict[str, int | None]:
        exit_codes: dict[str, int | None] = {}

        async def stop(node: NodeProcess) -> None:
            node.accumulate_cpu_time()
            exit_codes[node.name] = await node.stop()

        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(stop, node)
        return exit_codes

    async def _stop_processes(self, processes: list[ManagedProcess]) -> None:
        for process in processes:
            process.send_line("stop")
        for process in processes:
            if await process.wait_for_exit(READY_TIMEOUT_S) is None:
                raise ProcessError(process.name, f"{process.name} did not exit after the stop command")

    def _clean_up(self) -> None:
        node_processes = [node.process for node in self.nodes if node.process]
        for process in [*self.processes, *node_processes]:
            process.kill()
        self.record_writer.close()

    def _judge_run(self, exit_codes: dict[str, int | None]) -> RunResult:
        records = read_folder_records(self.folder)
        verdict = referee.judge(self.incident, records)
        description = RunDescription(
            incident_title=self.incident.title,
            seed=self.seed,
            node=self.node,
            started_at_ms=self.started_at_ms,
            cpu_ms=sum(node.cpu_ms for node in self.nodes),
            exit_codes=exit_codes,
        )
        return build_result(description, verdict, records)
