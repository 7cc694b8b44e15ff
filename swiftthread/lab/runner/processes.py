"""A child process of a run: started in a session of its own, and ended with all its children."""

import contextlib
import os
import signal
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

import anyio
import psutil

from swiftthread.lab.errors import ProcessError

# Time for a process to be ready, in s.
READY_TIMEOUT_S = 15.0
# Pause between two checks of a process's state, in s.
POLL_INTERVAL_S = 0.02


class ManagedProcess:
    """A child process in a session of its own, so that a signal to the terminal's group does not end it.

    Attributes:
        name: Its name in errors and of its log file.
        popen: The process.
        log: The file of its standard error.
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
            name: Its name.
            command: Its command line.
            folder: The folder of its log file.
            environment: Its environment variables.
            cores: The cores it is pinned to; empty for all.
            working_folder: Its working directory; None for this process's own.
            has_pipes: Whether lines are exchanged with it over its standard input and output.
        """
        self.name = name
        self.log = folder / f"{name}.log"
        stream = subprocess.PIPE if has_pipes else subprocess.DEVNULL
        with open(self.log, "ab") as log_file:
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
            # The process may have ended, and not every machine can pin; the run goes on in both cases.
            with contextlib.suppress(psutil.Error):
                psutil.Process(self.popen.pid).cpu_affinity(list(cores))

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.popen.poll() is not None

    def send_line(self, line: str) -> None:
        """Write a line to its standard input.

        Raises:
            ProcessError: It has ended.
        """
        assert self.popen.stdin is not None
        try:
            self.popen.stdin.write(line.encode() + b"\n")
            self.popen.stdin.flush()
        except OSError:
            raise ProcessError(self.name, f"{self.name} has ended: {self.last_log_line()}") from None

    async def read_line(self) -> str:
        """Return the next line of its standard output.

        Raises:
            ProcessError: It ended, or wrote nothing in time.
        """
        assert self.popen.stdout is not None
        with anyio.move_on_after(READY_TIMEOUT_S):
            line = await anyio.to_thread.run_sync(self.popen.stdout.readline, abandon_on_cancel=True)
            if line:
                return line.decode().strip()
        raise ProcessError(self.name, f"{self.name} does not start: {self.last_log_line()}")

    def last_log_line(self) -> str:
        """Return the last line of its standard error."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it says nothing"

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Return its exit code; None when it did not end in time and was killed."""
        with anyio.move_on_after(timeout_s):
            while not self.has_ended():
                await anyio.sleep(POLL_INTERVAL_S)
        if not self.has_ended():
            self.kill()
            return None
        return self.popen.returncode

    def kill(self) -> None:
        """Kill the process and its children if it still runs, and close its pipes."""
        if not self.has_ended():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.popen.pid, signal.SIGKILL)
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe:
                # A line that is still buffered has no reader any more.
                with contextlib.suppress(OSError):
                    pipe.close()
