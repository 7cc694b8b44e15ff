"""One process that emulates endpoints, discovery and the platform on loopback sockets.

The receiver model decides how endpoints behave, and this package serves that model over sockets. Connections
are asyncio protocols that call back, and the process measures the lag of its own event loop.
"""

from swiftthread.lab.emulator.process import serve

__all__ = ["serve"]
