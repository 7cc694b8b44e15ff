"""Calls functions when sockets can be read or written."""

# Most connections wait most of the time, and a task for each would take more memory than all else about it.
# The event loop is given descriptors: it would describe a socket object in each error that it handles.

import asyncio
import contextlib
import socket
from collections.abc import Callable


class SocketWatcher:
    """Watches sockets on the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def watch_input(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Call `callback` whenever bytes or the peer's end can be read, until `unwatch`."""
        self._loop.add_reader(sock.fileno(), callback)

    def watch_output(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Call `callback` whenever bytes can be written, and no longer when some can be read."""
        self._loop.remove_reader(sock.fileno())
        self._loop.add_writer(sock.fileno(), callback)

    def unwatch(self, sock: socket.socket) -> None:
        """End the watches of a socket; it has to be still open."""
        with contextlib.suppress(ValueError):  # the socket was closed
            self._loop.remove_reader(sock.fileno())
            self._loop.remove_writer(sock.fileno())

    def call_in_next_iteration(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next iteration of the event loop, after the sockets that are ready now."""
        self._loop.call_soon(callback)
