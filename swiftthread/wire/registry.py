"""Discovery: the list of endpoints, by a watch that is opened anew when it ends or falls silent."""
import json
import zlib

import anyio
import h11
from loguru import logger

from swiftthread.wire.answer import parser, request
from swiftthread.wire.line import Broken, address_of, connect

MOST_LINE = 4 * 1024 * 1024     # bytes: far over the list of any fleet of the pages
UNNAMED = 1 << 16               # from here on: numbers of zones, and of a kind, that the settings do not name
READY, GONE = "SERVING", "DELETED"


class Registry:
    """Owner of the watch's connection and of the addresses."""

    def __init__(self, address, buffers, kinds, zones, quiet_ms, connect_ms):
        self.address, self.buffers, self.kinds, self.zones = address, buffers, kinds, zones
        self.quiet, self.connect = quiet_ms, connect_ms
        self.version, self.addresses = 0, {}        # endpoint id -> (host, port); emptied as endpoints go
        self.watching = anyio.CancelScope()
        self.foreign = {}       # zone name, or endpoint without one, that the settings don't know -> its number;
        #                         emptied with each whole list

    def move(self, address):
        """Discovery is elsewhere: the watch ends, and the next asks there for the whole list."""
        if address != self.address:
            self.address, self.version = address, 0
            self.watching.cancel()

    def entries(self, page):
        """A list in discovery's form as the module's (entries, whole). Lines that cannot be read are left out."""
        found, whole = [], bool(page.get("full"))
        if whole:
            self.addresses.clear()
            self.foreign.clear()
        for row in page.get("servers") or ():
            try:
                ident, state = str(row["id"]), row["state"]
                if state == GONE:
                    self.addresses.pop(ident, None)
                    self.foreign.pop(ident, None)
                else:
                    self.addresses[ident] = address_of(row["addr"])
                found.append((ident, int(row["cell"]), self._zone(ident, row.get("zone")),
                              self._kind(ident, row.get("kind")), float(row.get("weight") or 0.0), state == READY))
            except (KeyError, ValueError, TypeError, AttributeError, OverflowError):
                logger.warning("an entry of discovery cannot be read")
        self.version = int(page.get("version") or self.version)
        return found, whole

    def _kind(self, ident, name):
        """The kind's number; one that is no kind's where the settings don't name it, so that it has nothing of
        another's: one event a call, no route of its own."""
        if not (isinstance(name, str) and name in self.kinds):
            logger.warning("endpoint {}: kind {!r} is none of the settings'; it gets one event a call", ident, name)
            return UNNAMED
        return self.kinds[name]

    def _zone(self, ident, name):
        """The zone's number; one of its own, the same after a restart, where the settings don't name it: repeats that
        are known in one zone are known in no other. Without a name the endpoint is a zone of its own."""
        if isinstance(name, str) and name in self.zones:
            return self.zones[name]
        named = isinstance(name, str) and name
        if (said := name if named else ident) not in self.foreign:
            self.foreign[said] = UNNAMED + zlib.crc32(repr((bool(named), said)).encode())
            logger.warning("endpoint {}: zone {!r} is none of the settings'; it is held apart from all others", ident, name)
        return self.foreign[said]

    async def watch(self, told):
        """Hand each list that comes to `told`, until the watch ends, falls silent or breaks; False: moved away."""
        with anyio.CancelScope() as self.watching:
            await self._watch(told)
        return not self.watching.cancelled_caught

    async def _watch(self, told):
        line = None
        try:
            with anyio.fail_after(self.connect / 1000.0):
                line = await connect(self.address, self.buffers, parser())
            target = f"/catalog/members?watch=1&from={self.version}"
            await line.write(*request(line, "GET", target, [("Host", "discovery")]))
            rest = b""
            while True:
                with anyio.fail_after(self.quiet / 1000.0):
                    data = await self._part(line)
                if data is None:
                    return
                *rows, rest = (rest + data).split(b"\n")
                if len(rest) > MOST_LINE:
                    raise Broken(True)
                for row in rows:
                    if row.strip():
                        await told(*self.entries(json.loads(row)))
        except (Broken, TimeoutError):
            logger.info("the watch ended")
        except (ValueError, AttributeError, TypeError, OverflowError, RecursionError):
            self.version = 0        # what was missed is unknown: the whole list is asked for
            logger.warning("the watch cannot be read")
        except Exception:       # guards the node: the whole list is asked for on another connection
            self.version = 0
            logger.exception("the watch failed")
        finally:
            if line is not None:
                line.close()

    @staticmethod
    async def _part(line):
        """The next bytes of the body; None at its end."""
        while True:
            try:
                part = line.parser.next_event()
            except h11.RemoteProtocolError:
                raise Broken(True) from None
            if part is h11.NEED_DATA:
                await line.read()
            elif isinstance(part, h11.Data):
                return bytes(part.data)
            elif isinstance(part, h11.Response):
                if part.status_code != 200:
                    return None
            else:
                return None
