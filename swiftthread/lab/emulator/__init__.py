"""Endpoints, discovery and the platform on loopback sockets, from one process.

The receiver model says how endpoints behave; this package puts it behind sockets. Its connections are asyncio
protocols that call back, and it measures how late its own event loop runs.
"""

from swiftthread.lab.emulator.process import serve

__all__ = ["serve"]
