"""Listening sockets."""

import socket

from swiftthread.network.address import Address


def open_listener(address: Address, backlog: int) -> socket.socket:
    """Open a non-blocking socket that listens on `address`.

    Raises:
        OSError: The address cannot be bound, or no file descriptor is free.
    """
    # `backlog` is the number of connections that may wait to be accepted; the kernel may allow fewer.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
