"""Listening sockets on the loopback interface."""

import asyncio
import errno
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Callable

LOOPBACK = "127.0.0.1"
BIND_ATTEMPTS = 50  # After this many ports that could not be bound, `bind_unused_port` fails.


def address_of(sock: socket.socket | TransportSocket) -> str:
    """Return the local address of a socket as host:port."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def bind_unused_port() -> socket.socket:
    """Return a socket that is bound to an unused port but does not listen, so that connections are refused.

    The socket is bound by port number, so that it holds the port while it listens, stops and listens again.

    Raises:
        OSError: No unused port could be bound.
    """
    for _ in range(BIND_ATTEMPTS):
        with socket.socket() as temporary_socket:
            temporary_socket.bind((LOOPBACK, 0))
            address = temporary_socket.getsockname()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            continue
        sock.setblocking(False)
        return sock
    raise OSError(errno.EADDRINUSE, "no unused port on loopback could be bound")


async def listen(protocol_factory: Callable[[], asyncio.Protocol]) -> asyncio.Server:
    """Listen on an unused port, with one protocol instance for each connection."""
    return await asyncio.get_running_loop().create_server(protocol_factory, LOOPBACK, 0)
