"""What several commands share: exit codes, invalid input, and runs that can be interrupted."""

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
# 128 and the number of SIGINT, as of a program that the signal ended.
EXIT_INTERRUPTED = 130

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")


class InvalidInput(click.ClickException):
    """Invalid input: lines on standard error, and exit code 2."""

    exit_code = EXIT_INVALID_INPUT

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message with the program's name in front."""
        click.echo(f"swiftthread.lab: {self.message}", err=True)


def load_incident(path: str) -> Incident:
    """Return an incident by path or name.

    Raises:
        InvalidInput: It cannot be used.
    """
    try:
        return incident_file.load(path)
    except incident_file.IncidentError as error:
        raise InvalidInput(str(error)) from None


def run_async(
    function: Callable[[*Arguments], Awaitable[Result]],
    *arguments: *Arguments,
) -> Result:
    """Run a coroutine function; Ctrl-C and SIGTERM both cancel it, so that it ends all it has started.

    Raises:
        InvalidInput: It raised a `RunError` or an `OSError`.
        SystemExit: It was interrupted.
    """
    # The event loop turns SIGINT into a cancel.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        return anyio.run(function, *arguments)
    except* RunError as group:
        raise InvalidInput(str(_first_error(group))) from None
    except* OSError as group:
        error = _first_error(group)
        assert isinstance(error, OSError)
        raise InvalidInput(f"{error.filename or 'the system'}: {error.strerror}") from None
    except* KeyboardInterrupt:
        click.echo("swiftthread.lab: ended on request", err=True)
        raise SystemExit(EXIT_INTERRUPTED) from None


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group that is no group itself."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
