"""One delivery node: `python -m swiftthread`. It is told all it needs by LB_CONFIG and its like."""

import gc
import os
import signal
import sys
import time

import anyio
from loguru import logger

from swiftthread.configuration.node_config import NodeConfig
from swiftthread.configuration.settings_reader import MalformedInput
from swiftthread.service.startup import SIGNALS, serve

SAME_LINE_S = 5.0  # s: one place in the code writes at most one line in so long; a storm stays readable


def sparing():
    """A filter that lets each place in the code through once in a while, and counts what it kept back."""
    last = {}  # place -> [moment, lines kept back]; as many as there are places

    def passes(row):
        seen = last.setdefault((row["file"].name, row["line"]), [-SAME_LINE_S, 0])
        now = time.monotonic()
        if now - seen[0] < SAME_LINE_S:
            seen[1] += 1
            return False
        if seen[1]:
            row["message"] += f" (and {seen[1]} times before)"
        seen[:] = [now, 0]
        return True

    return passes


def main():
    """Run one node; returns the process's exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until somebody listens
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        filter=sparing(),
        backtrace=False,
        diagnose=False,
    )
    try:
        told = NodeConfig(os.environ)
    except MalformedInput as fault:
        print(f"swiftthread: {fault}", file=sys.stderr)
        return 2
    gc.freeze()
    code = 0
    try:
        anyio.run(serve, told)
    except* OSError as faults:
        print(f"swiftthread: {faults.exceptions[0]}", file=sys.stderr)
        code = 2
    return code


if __name__ == "__main__":
    sys.exit(main())
