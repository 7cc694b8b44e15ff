"""Shared by several commands: exit codes, the error for invalid input, and runs that can be interrupted."""

import signal
from collections.abc import Awaitable, Callable
from typing import IO, Any, TypeVar, TypeVarTuple

import anyio
import click

from swiftthread.lab import incident_file
from swiftthread.lab.errors import RunError
from swiftthread.lab.incident import Incident

EXIT_BROKEN_RULES = 1
EXIT_INVALID_INPUT = 2
# 128 plus the number of SIGINT: the exit code of a shell for a program that the signal terminated.
EXIT_INTERRUPTED = 130

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")


class InvalidInputError(click.ClickException):
    """Invalid input. click prints the message on standard error and exits with code 2."""

    exit_code = EXIT_INVALID_INPUT

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message, preceded by the program's name."""
        click.echo(f"swiftthread.lab: {self.message}", err=True)


def load_incident(path: str) -> Incident:
    """Load an incident by its name or path.

    Raises:
        InvalidInputError: The incident file is unreadable or invalid.
    """
    try:
        return incident_file.load(path)
    except incident_file.IncidentError as error:
        raise InvalidInputError(str(error)) from None


def run_async(
    function: Callable[[*Arguments], Awaitable[Result]],
    *arguments: *Arguments,
) -> Result:
    """Run a coroutine function. SIGINT and SIGTERM cancel it, so that it can stop the processes it started.

    Raises:
        InvalidInputError: The function raised a `RunError` or an `OSError`.
        SystemExit: The function was cancelled by a signal.
    """
    # The event loop cancels the function on SIGINT.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        return anyio.run(function, *arguments)
    except* RunError as group:
        raise InvalidInputError(str(_first_error(group))) from None
    except* OSError as group:
        error = _first_error(group)
        assert isinstance(error, OSError)
        raise InvalidInputError(f"{error.filename or 'the system'}: {error.strerror}") from None
    except* KeyboardInterrupt:
        click.echo("swiftthread.lab: interrupted", err=True)
        raise SystemExit(EXIT_INTERRUPTED) from None


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error in a group, descending into nested groups."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
