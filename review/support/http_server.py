"""A small HTTP/1.1 server on loopback: one thread for each connection."""

import contextlib
import socket
import struct
import threading

LINGER_ZERO = struct.pack("ii", 1, 0)
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests"}


class Request:
    """A complete request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def read_request(conn, buffered):
    """Read one request; return it and the bytes behind it, or None at the end of the connection."""
    while b"\r\n\r\n" not in buffered:
        data = conn.recv(65536)
        if not data:
            return None, b""
        buffered += data
    head, _, rest = buffered.partition(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first_line.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(rest) < length:
        data = conn.recv(65536)
        if not data:
            return None, b""
        rest += data
    return Request(method, target, headers, rest[:length]), rest[length:]


def encode_response(status, headers=(), body=b""):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves requests with `handle(conn, request)`, which returns whether the connection goes on."""

    def __init__(self, handle, address=("127.0.0.1", 0)):
        self.handle = handle
        self._conns = set()
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(256)
        self.host, self.port = self._listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no more connections, and reset the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_connections()

    def reset_connections(self):
        """Reset all open connections."""
        with self._lock:
            conns = list(self._conns)
        for conn in conns:
            with contextlib.suppress(OSError):
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
                conn.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._conns.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        buffered = b""
        try:
            while True:
                request, buffered = read_request(conn, buffered)
                if request is None or not self.handle(conn, request):
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._conns.discard(conn)
            conn.close()
