"""Runs one delivery node: `python -m swiftthread`. LB_CONFIG names its configuration; see `node_config`."""

import signal
import sys

from swiftthread.signals import SIGNALS
from swiftthread.unused_modules import leave_out_unused_modules


def main() -> int:
    """Run one node; returns the exit code of the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # blocked until the node receives them
    leave_out_unused_modules()
    from swiftthread.service.program import run_node  # its libraries import the modules that are left out

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
