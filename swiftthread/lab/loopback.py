"""Listening sockets on loopback."""

import asyncio
import errno
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Callable

LOOPBACK = "127.0.0.1"
BIND_ATTEMPTS = 50  # ports tried before it is given up


def address_of(sock: socket.socket | TransportSocket) -> str:
    """Return the local address of a socket as host:port."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def bind_unused_port() -> socket.socket:
    """Return a socket with a port of its own that does not listen yet, so that connections are refused.

    The port is bound by its number, so that it stays ours while the socket listens, stops and listens again.

    Raises:
        OSError: No port is free.
    """
    for _ in range(BIND_ATTEMPTS):
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            address = probe.getsockname()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            continue
        sock.setblocking(False)
        return sock
    raise OSError(errno.EADDRINUSE, "no free port on loopback")


async def listen(protocol_factory: Callable[[], asyncio.Protocol]) -> asyncio.Server:
    """Listen on a free port, with one protocol for each connection."""
    return await asyncio.get_running_loop().create_server(protocol_factory, LOOPBACK, 0)
