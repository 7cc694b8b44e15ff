"""The process of a node: logging, configuration and exit code."""

import gc
import os
import sys

import anyio
from loguru import logger

from swiftthread.configuration.node_config import ConfigurationError, read_node_config
from swiftthread.service.log_filter import RepeatFilter
from swiftthread.service.startup import serve

EXIT_CONFIGURATION_ERROR = 2
"""Exit code if the configuration, or a file or address that it names, cannot be used."""


def run_node() -> int:
    """Run one node; returns the exit code of the process."""
    # The caller has blocked the signals of a node. They are unblocked once `serve` receives them.
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
