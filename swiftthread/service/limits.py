"""The bounds that a node keeps whatever it decides.

Its machine's limits shared out, and how long peers may take.

All lengths of time are ms. What to send where, when and whether is in choice.py alone.
"""

FIRST_MS = 2200.0  # a connection's first request, from the accept; strangers are owed an end within 3 s
REQUEST_MS = 1500.0  # a client's request, from its first byte to its last; four times the client's patience
CLIENT_IDLE_MS = 8000.0  # an idle client connection is closed, 2 s at least; some are never used again
# The watch sends an empty line every 2 s: two missed, and it is opened anew. With the pause before that
# (0.3 s at most) and the answer it stays inside the 6 s after which a change counts as told.
WATCH_QUIET_MS = 4200.0
PLATFORM_MS = 1500.0  # an answer of discovery or to a notice, which the pages say comes at once
NOTICE_PAUSE_MS = 150.0  # before a notice is repeated that was not answered 204; half of the slack it has
LOG_PAUSE_MS = 100.0  # before a log that took nothing is asked again; an SLO time has room for several
ANSWERING_MS = 600.0  # after SIGTERM: new connections come for 0.4 s and are answered
SENDING_MS = 2800.0  # after SIGTERM: sends go on; what is out after it still gets its time until the end
STOP_MS = 3400.0  # after SIGTERM: the end, 0.3 s before the SIGKILL

LEAST_BACKLOG = 1024  # connections waiting to be accepted: as many nodes or clients may come at one moment
RESERVED_SOCKETS = 32  # the loop's own, log, listener, discovery, notices, and some for accepts to be refused
IDLE_SHARE = 0.25  # of the sockets: idle connections to endpoints
# Of the sockets: client connections kept between requests; clients may hold a third in all
KEPT_SHARE = 0.125
MIB = 1024 * 1024
DISK_MB = 1000 * 1000  # bytes: the smaller of two readings of "MB"


class Limits:
    """What is told at start, shared out."""

    def __init__(self, told, slots, keepalive_ms, connect_ms):
        sockets = int(told.get("sockets") or 1024)
        slots = int(slots) if slots and slots < sockets else sockets // 4
        self.max_idle_connections = max(4, int(IDLE_SHARE * sockets) - slots)
        self.max_clients = max(4, sockets - RESERVED_SOCKETS - self.max_idle_connections - 2 * slots)
        self.backlog = max(LEAST_BACKLOG, sockets)
        self.max_resting_clients = max(4, int(KEPT_SHARE * sockets))
        self.disk_bytes = int(float(told.get("disk_mb") or 3) * DISK_MB)
        # An idle connection is closed by the endpoint at its time or before: ours ends a fifth earlier.
        self.max_idle_ms = 0.8 * min(keepalive_ms, 60000.0)
        self.connect_timeout_ms = connect_ms or 1500.0
        # Events are held in memory with their bodies; an eighth of it is enough beside the interpreter.
        self.max_pending_bytes = int(float(told.get("memory_mb") or 192) * MIB / 8)
