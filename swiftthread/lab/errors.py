"""Errors of runs. Their texts are one line each, for the command line."""

from pathlib import Path


class RunError(Exception):
    """A run that could not be made; the text says which part failed and why."""


class ProcessError(RunError):
    """A process of a run failed.

    Attributes:
        process: The process's name.
    """

    def __init__(self, process: str, text: str) -> None:
        super().__init__(text)
        self.process = process


class RevisionError(RunError):
    """A build that could not be checked out.

    Attributes:
        revision: The git revision that was asked for.
    """

    def __init__(self, revision: str, text: str) -> None:
        super().__init__(f"{revision}: {text}")
        self.revision = revision


class GitError(RunError):
    """A git command that failed.

    Attributes:
        command: The git subcommand.
    """

    def __init__(self, command: str, text: str) -> None:
        super().__init__(f"git {command}: {text}")
        self.command = command


class RunFolderExistsError(RunError):
    """The folder of a run exists already."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"{folder}: is there already; name another folder with --into")
