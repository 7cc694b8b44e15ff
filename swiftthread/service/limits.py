"""Resource limits and time-outs that do not depend on the router."""

# They divide the machine's limits among their uses, and set the time-outs of the HTTP server and of the
# clients of the platform. Only `swiftthread.routing` decides whether, when and where an event is sent.

from collections.abc import Mapping
from dataclasses import InitVar, dataclass, field
from typing import Any

# Time from the accept of a connection to the end of its first request. A connection of an unknown
# client must be closed within 3 s.
FIRST_REQUEST_TIMEOUT_MS = 2200.0
# Time from the first byte of a request to its last: about four times the 0.4 s that a client waits for a
# response.
REQUEST_TIMEOUT_MS = 1500.0
# Idle time after which a client connection is closed. It has to be 2 s at least, and is limited because some
# connections are never used again.
CLIENT_IDLE_TIMEOUT_MS = 8000.0
# Time without a line on the discovery watch after which the watch is reopened. Discovery sends an empty line
# every 2 s, so two are missing by then. Together with the pause before the reopening (at most 0.3 s) and the
# response, this stays within the 6 s after which the node is expected to know of a change.
WATCH_IDLE_TIMEOUT_MS = 4200.0
# Time for a response of discovery or to a notification; by the platform's contract they arrive at once.
PLATFORM_RESPONSE_TIMEOUT_MS = 1500.0
# Pause before a notification is repeated whose response was not 204: half of the time that it may be late.
NOTIFICATION_RETRY_PAUSE_MS = 150.0

# Defaults for limits that the configuration does not contain.
DEFAULT_SOCKETS = 1024
DEFAULT_DISK_MB = 3
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_MS = 1500.0

# Minimum number of connections waiting to be accepted, since this many nodes or clients may connect at once.
MIN_BACKLOG = 1024
# Sockets for the event loop, the log, the listener, discovery, notifications, and for connections that are
# accepted only to be rejected.
RESERVED_SOCKETS = 32
# Minimum number of client connections, and of idle client connections, even with few sockets.
MIN_CONNECTIONS = 4
# Share of the sockets that calls and idle clients do not use, if calls use less than this share.
FREE_SHARE = 0.25
# Share of the sockets for idle client connections; clients may use a third in total.
IDLE_CLIENT_SHARE = 0.125
# Number of sockets per call slot, if the settings do not limit the calls in flight.
SOCKETS_PER_DEFAULT_SLOT = 4
# "MB" can mean 1000 * 1000 or 1024 * 1024 bytes; this is the smaller of the two.
BYTES_PER_MB = 1000 * 1000


@dataclass
class Limits:
    """Limits of one node, derived from the limits in the configuration."""

    machine_limits: InitVar[Mapping[str, Any]]
    """`sockets`, `disk_mb` and `memory_mb` from the configuration; each has a default."""
    max_calls_in_flight: InitVar[float]
    """Maximum number of concurrent calls to endpoints; 0 or inf if not set."""
    connect_timeout_setting_ms: InitVar[float]
    """Time-out of a connect to an endpoint; 0 if not set."""
    max_clients: int = field(init=False)
    """Maximum number of client connections."""
    max_idle_clients: int = field(init=False)
    """Maximum number of idle client connections."""
    backlog: int = field(init=False)
    """Maximum number of connections waiting to be accepted."""
    disk_bytes: int = field(init=False)
    """Maximum size of the write-ahead log."""
    connect_timeout_ms: float = field(init=False)
    """Time-out of a connect to an endpoint."""
    memory_bytes: int = field(init=False)
    """Maximum resident size of the process."""

    def __post_init__(
        self,
        machine_limits: Mapping[str, Any],
        max_calls_in_flight: float,
        connect_timeout_setting_ms: float,
    ) -> None:
        sockets = int(machine_limits.get("sockets") or DEFAULT_SOCKETS)
        if max_calls_in_flight and max_calls_in_flight < sockets:
            slots = int(max_calls_in_flight)
        else:
            slots = sockets // SOCKETS_PER_DEFAULT_SLOT
        free_sockets = max(0, int(FREE_SHARE * sockets) - slots)
        sockets_for_clients = sockets - RESERVED_SOCKETS - free_sockets - 2 * slots
        self.max_clients = max(MIN_CONNECTIONS, sockets_for_clients)
        self.max_idle_clients = max(MIN_CONNECTIONS, int(IDLE_CLIENT_SHARE * sockets))
        self.backlog = max(MIN_BACKLOG, sockets)
        self.disk_bytes = int(float(machine_limits.get("disk_mb") or DEFAULT_DISK_MB) * BYTES_PER_MB)
        self.connect_timeout_ms = connect_timeout_setting_ms or DEFAULT_CONNECT_TIMEOUT_MS
        self.memory_bytes = int(float(machine_limits.get("memory_mb") or DEFAULT_MEMORY_MB) * BYTES_PER_MB)
