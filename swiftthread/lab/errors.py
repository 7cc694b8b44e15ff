"""Exceptions of runs. Each text is one line that the command line prints."""

from pathlib import Path


class RunError(Exception):
    """A run failed. The text says which part of it failed and why."""


class ProcessError(RunError):
    """A process of a run did not start, exited too early or did not stop.

    Attributes:
        process: The process's name.
    """

    def __init__(self, process: str, text: str) -> None:
        super().__init__(text)
        self.process = process


class RevisionError(RunError):
    """A git revision does not exist.

    Attributes:
        revision: The requested git revision.
    """

    def __init__(self, revision: str, text: str) -> None:
        super().__init__(f"{revision}: {text}")
        self.revision = revision


class GitError(RunError):
    """A git command failed.

    Attributes:
        command: The git subcommand.
    """

    def __init__(self, command: str, text: str) -> None:
        super().__init__(f"git {command}: {text}")
        self.command = command


class RunFolderExistsError(RunError):
    """The folder for a run already exists."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"{folder}: already exists; choose another folder with --into")
