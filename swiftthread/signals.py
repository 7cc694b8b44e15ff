"""The signals that a node receives."""

import signal

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
"""SIGTERM and SIGINT shut a node down, SIGHUP reloads its configuration."""
