"""A child process of a run: it starts in its own session and is killed together with its children."""

import contextlib
import os
import signal
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

import anyio
import psutil

from swiftthread.lab.errors import ProcessError

# Timeout for a process to become ready or, after a stop command, to exit.
READY_TIMEOUT_S = 15.0
# Time between two checks of a process's state.
POLL_INTERVAL_S = 0.02


class ManagedProcess:
    """A child process in its own session, so that signals to the terminal's process group do not reach it.

    Attributes:
        name: The process's name in error messages and in the name of its log file.
        popen: The process.
        log_path: The file that receives the process's standard error.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        folder: Path,
        *,
        environment: Mapping[str, str],
        cores: Sequence[int] = (),
        working_folder: Path | None = None,
        has_pipes: bool = False,
    ) -> None:
        """Start the process.

        Args:
            name: The process's name.
            command: The command line.
            folder: The folder in which the log file is written.
            environment: The environment variables.
            cores: The cores that the process is pinned to. Empty means all cores.
            working_folder: The working directory. None means that of the calling process.
            has_pipes: Whether standard input and output are pipes for `send_line` and `read_line`. Otherwise
                they are connected to the null device.
        """
        self.name = name
        self.log_path = folder / f"{name}.log"
        stream = subprocess.PIPE if has_pipes else subprocess.DEVNULL
        with open(self.log_path, "ab") as log_file:
            self.popen = subprocess.Popen(
                command,
                stdin=stream,
                stdout=stream,
                stderr=log_file,
                cwd=working_folder,
                env=environment,
                start_new_session=True,
            )
        if cores:
            # The process may have exited already, and some machines do not support CPU affinity. The run
            # continues in both cases.
            with contextlib.suppress(psutil.Error):
                psutil.Process(self.popen.pid).cpu_affinity(list(cores))

    def has_exited(self) -> bool:
        """Return whether the process has exited."""
        return self.popen.poll() is not None

    def send_line(self, line: str) -> None:
        """Write a line to the process's standard input.

        Raises:
            ProcessError: The process has exited.
        """
        assert self.popen.stdin is not None
        try:
            self.popen.stdin.write(line.encode() + b"\n")
            self.popen.stdin.flush()
        except OSError:
            raise ProcessError(self.name, f"{self.name} has exited: {self.last_log_line()}") from None

    async def read_line(self) -> str:
        """Return the next line of the process's standard output.

        Raises:
            ProcessError: The process closed its output, or wrote no line within `READY_TIMEOUT_S`.
        """
        assert self.popen.stdout is not None
        with anyio.move_on_after(READY_TIMEOUT_S):
            line = await anyio.to_thread.run_sync(self.popen.stdout.readline, abandon_on_cancel=True)
            if line:
                return line.decode().strip()
        raise ProcessError(self.name, f"{self.name} did not start: {self.last_log_line()}")

    def last_log_line(self) -> str:
        """Return the last line of the process's standard error, or a note that there is none."""
        lines = self.log_path.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "no log output"

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Wait for the process and return its exit code, or None if it was killed after `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            while not self.has_exited():
                await anyio.sleep(POLL_INTERVAL_S)
        if not self.has_exited():
            self.kill()
            return None
        return self.popen.returncode

    def kill(self) -> None:
        """Kill the process and its children if it is still running, and close its pipes."""
        if not self.has_exited():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.popen.pid, signal.SIGKILL)
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe:
                # Closing flushes buffered input, which fails because the process no longer reads it.
                with contextlib.suppress(OSError):
                    pipe.close()
