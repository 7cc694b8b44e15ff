"""Limits that a node keeps whatever the router decides.

The machine's limits shared out, and the time-outs of the HTTP server and of the clients of the platform. What
is sent where, when and whether is decided in `swiftthread.routing` alone.
"""

from collections.abc import Mapping
from dataclasses import InitVar, dataclass, field
from typing import Any

# ms from the accept to the end of a connection's first request: strangers are owed an end within 3 s.
FIRST_REQUEST_TIMEOUT_MS = 2200.0
# ms from a request's first byte to its last: four times a client's patience.
REQUEST_TIMEOUT_MS = 1500.0
# ms after which an idle client connection is closed: 2 s at least, and some are never used again.
CLIENT_IDLE_TIMEOUT_MS = 8000.0
# ms without a line on the watch. It sends an empty line every 2 s: two missed, and it is opened anew. With
# the pause before that (0.3 s at most) and the response it stays inside the 6 s after which a change counts
# as told.
WATCH_IDLE_TIMEOUT_MS = 4200.0
# ms for a response of discovery, or to a notification, which come at once by the platform's contract.
PLATFORM_RESPONSE_TIMEOUT_MS = 1500.0
# ms before a notification is repeated that was not answered 204: half of the slack that it has.
NOTIFICATION_RETRY_PAUSE_MS = 150.0

# Defaults of what the configuration does not limit.
DEFAULT_SOCKETS = 1024
DEFAULT_DISK_MB = 3
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_MS = 1500.0

# Connections that wait to be accepted: as many nodes or clients may come at one moment.
MIN_BACKLOG = 1024
# The event loop's own, the log, the listener, discovery, notifications, and some for accepts to be rejected.
RESERVED_SOCKETS = 32
# Least number of idle connections, of clients, and of clients between requests, however few the sockets.
MIN_CONNECTIONS = 4
# Of the sockets: idle connections to endpoints.
IDLE_CONNECTION_SHARE = 0.25
# Of the sockets: client connections kept between requests; clients may hold a third in all.
IDLE_CLIENT_SHARE = 0.125
# Of the slots that the settings leave open: one in so many sockets.
SOCKETS_PER_DEFAULT_SLOT = 4
# Of the endpoints' keep-alive time: an endpoint closes an idle connection at its time or before, so that ours
# must end earlier.
IDLE_TIME_SHARE = 0.8
# ms: longest keep-alive time that is made use of.
MAX_KEEPALIVE_MS = 60000.0
# Of the memory: bodies of pending events; enough beside the interpreter.
PENDING_BODIES_MEMORY_SHARE = 1 / 8
BYTES_PER_MIB = 1024 * 1024
# The smaller of two readings of "MB".
BYTES_PER_DISK_MB = 1000 * 1000


@dataclass
class Limits:
    """Limits of one node, shared out of what the configuration grants it.

    Args:
        machine_limits: `sockets`, `disk_mb` and `memory_mb` of the configuration; each has a default.
        max_calls_in_flight: Calls to endpoints at once; 0 or infinite when the settings leave it open.
        keepalive_ms: How long endpoints keep an idle connection.
        connect_timeout_setting_ms: Time-out of a connect to an endpoint; 0 when the settings leave it open.

    Attributes:
        max_idle_connections: Idle connections to endpoints.
        max_idle_ms: How long one of them may be idle.
        max_clients: Client connections.
        max_idle_clients: Client connections kept between requests.
        backlog: Connections that wait to be accepted.
        disk_bytes: Bytes that the write-ahead log may use.
        connect_timeout_ms: Time-out of a connect to an endpoint.
        max_pending_bytes: Bytes of the bodies of pending events.
    """

    machine_limits: InitVar[Mapping[str, Any]]
    max_calls_in_flight: InitVar[float]
    keepalive_ms: InitVar[float]
    connect_timeout_setting_ms: InitVar[float]
    max_idle_connections: int = field(init=False)
    max_idle_ms: float = field(init=False)
    max_clients: int = field(init=False)
    max_idle_clients: int = field(init=False)
    backlog: int = field(init=False)
    disk_bytes: int = field(init=False)
    connect_timeout_ms: float = field(init=False)
    max_pending_bytes: int = field(init=False)

    def __post_init__(
        self,
        machine_limits: Mapping[str, Any],
        max_calls_in_flight: float,
        keepalive_ms: float,
        connect_timeout_setting_ms: float,
    ) -> None:
        sockets = int(machine_limits.get("sockets") or DEFAULT_SOCKETS)
        if max_calls_in_flight and max_calls_in_flight < sockets:
            slots = int(max_calls_in_flight)
        else:
            slots = sockets // SOCKETS_PER_DEFAULT_SLOT
        self.max_idle_connections = max(MIN_CONNECTIONS, int(IDLE_CONNECTION_SHARE * sockets) - slots)
        for_clients = sockets - RESERVED_SOCKETS - self.max_idle_connections - 2 * slots
        self.max_clients = max(MIN_CONNECTIONS, for_clients)
        self.max_idle_clients = max(MIN_CONNECTIONS, int(IDLE_CLIENT_SHARE * sockets))
        self.backlog = max(MIN_BACKLOG, sockets)
        self.disk_bytes = int(float(machine_limits.get("disk_mb") or DEFAULT_DISK_MB) * BYTES_PER_DISK_MB)
        self.max_idle_ms = IDLE_TIME_SHARE * min(keepalive_ms, MAX_KEEPALIVE_MS)
        self.connect_timeout_ms = connect_timeout_setting_ms or DEFAULT_CONNECT_TIMEOUT_MS
        memory_bytes = float(machine_limits.get("memory_mb") or DEFAULT_MEMORY_MB) * BYTES_PER_MIB
        self.max_pending_bytes = int(memory_bytes * PENDING_BODIES_MEMORY_SHARE)
