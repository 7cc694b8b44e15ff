"""Runs one delivery node: `python -m swiftthread`. LB_CONFIG names its configuration; see `node_config`."""

import gc
import os
import signal
import sys

import anyio
from loguru import logger

from swiftthread.configuration.node_config import ConfigurationError, read_node_config
from swiftthread.service.log_filter import RepeatFilter
from swiftthread.service.startup import SIGNALS, serve

EXIT_CONFIGURATION_ERROR = 2
"""Exit code if the configuration, or a file or address that it names, cannot be used."""


def main() -> int:
    """Run one node; returns the exit code of the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # blocked until `serve` receives them
    _configure_logging()
    try:
        config = read_node_config(os.environ)
    except ConfigurationError as error:
        print(f"swiftthread: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    gc.freeze()
    exit_code = 0
    try:
        anyio.run(serve, config)
    except* OSError as errors:
        print(f"swiftthread: {errors.exceptions[0]}", file=sys.stderr)
        exit_code = EXIT_CONFIGURATION_ERROR
    return exit_code


def _configure_logging() -> None:
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        filter=RepeatFilter(),
        backtrace=False,
        diagnose=False,
    )


if __name__ == "__main__":
    sys.exit(main())
