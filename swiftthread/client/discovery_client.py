"""Discovery: the list of endpoints, by a watch that is opened anew when it ends or falls silent."""

import json
import zlib
from collections import deque

import anyio
import h11
from loguru import logger

from swiftthread.client.http_exchange import UNREADABLE, parser, request
from swiftthread.network.connection import ConnectionClosed, connect, parse_address

MOST_LIST = 4 * 1024 * 1024  # bytes: far over the list of any fleet of the pages
MOST_DOUBTFUL = 2  # lists in a row with an unreadable entry after which it is lived with
UNNAMED = 1 << 16  # from here on: numbers of zones, and of a kind, that the settings do not name
READY, GONE = "SERVING", "DELETED"


class DiscoveryClient:
    """Owner of the watch's connection and of the addresses."""

    def __init__(self, address, buffers, kind_numbers, zone_numbers, quiet_ms, connect_timeout_ms):
        self.address, self.buffers, self.kind_numbers, self.zone_numbers = (
            address,
            buffers,
            kind_numbers,
            zone_numbers,
        )
        self.quiet_ms, self.connect_timeout_ms = quiet_ms, connect_timeout_ms
        self.version, self.addresses = 0, {}  # endpoint id -> (host, port); emptied as endpoints go
        self.entries = {}  # endpoint id -> its entry as last read; emptied as endpoints go
        self.watching = anyio.CancelScope()
        self.unreadable_in_a_row = 0  # so many lists in a row held an entry that could not be read
        # Zone name that the settings do not know, or endpoint without one -> its number; emptied with each
        # complete list.
        self.unknown_zones = {}

    def change_address(self, address):
        """Discovery is elsewhere: the watch ends, and the next asks there for the whole list."""
        if address != self.address:
            self.address, self.version = address, 0
            self.watching.cancel()

    def parse_list(self, page):
        """A list in discovery's form as the module's (entries, whole).

        ValueError, and nothing is changed, when it is none. Of an entry that cannot be read nothing is taken
        on, and an endpoint that is known gets nothing new.
        """
        servers, version = page["servers"], int(page.get("version") or self.version)
        if not isinstance(servers, list):
            raise ValueError("the entries are no list")
        found, whole, doubtful, before = [], bool(page.get("full")), False, dict(self.entries)
        if whole:
            for table in (self.entries, self.addresses, self.unknown_zones):
                table.clear()
        for row in servers:
            try:
                found.append(self._entry(row))
            except UNREADABLE as fault:
                doubtful = True
                logger.warning("an entry of discovery cannot be read ({}): {:.200}", fault, repr(row))
                ident = row.get("id") if isinstance(row, dict) else None
                if isinstance(ident, str) and ident in before:
                    found.append((*before[ident][:-1], False))
        self.version, self.unreadable_in_a_row = version, self.unreadable_in_a_row + 1 if doubtful else 0
        return found, whole

    def _entry(self, row):
        """One endpoint; nothing is noted of it unless all of it could be read."""
        ident, state = row["id"], row["state"]
        if not isinstance(ident, str):
            raise ValueError("the id is no text")
        address = None if state == GONE else parse_address(row["addr"])
        entry = (
            ident,
            int(row["cell"]),
            self._zone(ident, row.get("zone")),
            self._kind(ident, row.get("kind")),
            float(row.get("weight") or 0.0),
            state == READY,
        )
        if state == GONE:
            for table in (self.entries, self.addresses, self.unknown_zones):
                table.pop(ident, None)
        else:
            self.entries[ident], self.addresses[ident] = entry, address
        return entry

    def _kind(self, ident, name):
        """The kind's number.

        A number of no kind where the settings don't name it: one event a call, no route of its own.
        """
        if not (isinstance(name, str) and name in self.kind_numbers):
            logger.warning(
                "endpoint {}: kind {!r} is none of the settings'; it gets one event a call", ident, name
            )
            return UNNAMED
        return self.kind_numbers[name]

    def _zone(self, ident, name):
        """The zone's number; one of its own, the same after a restart, where the settings don't name it.

        Repeats that are known in one zone are known in no other. Without a name the endpoint is a zone of its
        own.
        """
        if isinstance(name, str) and name in self.zone_numbers:
            return self.zone_numbers[name]
        named = isinstance(name, str) and name
        if (said := name if named else ident) not in self.unknown_zones:
            self.unknown_zones[said] = UNNAMED + zlib.crc32(repr((bool(named), said)).encode())
            logger.warning(
                "endpoint {}: zone {!r} is none of the settings'; it is held apart from all others",
                ident,
                name,
            )
        return self.unknown_zones[said]

    async def watch(self, told):
        """Hand each list that comes to `told`, until the watch ends, falls silent or breaks.

        False when discovery has moved away.
        """
        with anyio.CancelScope() as self.watching:
            await self._watch(told)
        return not self.watching.cancelled_caught

    async def _watch(self, told):
        connection = None
        try:
            with anyio.fail_after(self.connect_timeout_ms / 1000.0):
                connection = await connect(self.address, self.buffers, parser())
            target = f"/catalog/members?watch=1&from={self.version}"
            await connection.write(*request(connection, "GET", target, [("Host", "discovery")]))
            rows, lists = WatchLines(connection), JsonAssembler()
            while True:
                with anyio.fail_after(self.quiet_ms / 1000.0):  # bytes without an end are silence, too
                    while (
                        (row := await rows.next()) is not None
                        and (page := lists.add(row)) is None
                        and lists.begun
                    ):
                        pass
                if row is None:
                    return
                if page is not None:
                    found, whole = self.parse_list(page)
                    await told(found, whole)
                    if 0 < self.unreadable_in_a_row <= MOST_DOUBTFUL:
                        raise ValueError("an entry is unknown")  # the whole list, asked for anew, may say it
        except (ConnectionClosed, TimeoutError):
            logger.info("the watch ended")
        except UNREADABLE as fault:
            self.version = 0  # what was missed is unknown: the whole list is asked for
            logger.warning("the watch cannot be read ({}); the whole list is asked for", fault)
        except Exception:  # guards the node: the whole list is asked for on another connection
            self.version = 0
            logger.exception("the watch failed")
        finally:
            if connection is not None:
                connection.close()


class WatchLines:
    """The lines of a watch's body, as they come."""

    def __init__(self, connection):
        self.line, self.rows, self.rest = connection, deque(), bytearray()

    async def next(self):
        """The next whole line; None at the end of the body."""
        while not self.rows:
            data = await self._part()
            if data is None:
                return None
            *ends, tail = data.split(b"\n")
            for end in ends:
                self.rows.append(bytes(self.rest + end))
                self.rest.clear()
            self.rest += tail
            if len(self.rest) > MOST_LIST:
                raise ValueError("a line is too long")
        return self.rows.popleft()

    async def _part(self):
        """The next bytes of the body; None at its end."""
        while True:
            try:
                part = self.line.parser.next_event()
            except h11.RemoteProtocolError:
                raise ConnectionClosed(True) from None
            if part is h11.NEED_DATA:
                await self.line.read()
            elif isinstance(part, h11.Data):
                return bytes(part.data)
            elif isinstance(part, h11.Response):
                if part.status_code != 200:
                    return None
            else:
                return None


class JsonAssembler:
    """JSON objects out of lines: one a line, or indented over several."""

    def __init__(self):
        self.text = bytearray()

    @property
    def begun(self):
        """Whether a list has begun that is not complete yet."""
        return bool(self.text)

    def add(self, row):
        """The object that ends with this line; None when none does. ValueError when what came can be none."""
        if not row.strip():
            if self.text:
                raise ValueError("a list breaks off")
            return None
        if not (self.text or row.lstrip().startswith(b"{")):
            raise ValueError("a line is no list")
        self.text += row + b"\n"
        if len(self.text) > MOST_LIST:
            raise ValueError("a list is too long")
        if not row.rstrip().endswith(b"}"):
            return None  # no object ends here
        try:
            page = json.loads(self.text)
        except json.JSONDecodeError as fault:
            if fault.pos < len(fault.doc.rstrip()):
                raise  # not for want of more
            return None
        self.text.clear()
        return page
