"""The requests of the baselines to the platform: endpoint lists, and notifications of outcomes."""

import asyncio
import json
from contextlib import closing

from swiftthread.lab.node_configuration import ListedEndpoint, parse_endpoint_list, split_address
from swiftthread.lab.outcomes import EventOutcome

MAX_NOTIFICATION_ATTEMPTS = 5
NOTIFICATION_RETRY_DELAY_S = 0.1
LIST_REQUEST = b"GET /catalog/members HTTP/1.1\r\nHost: p\r\n\r\n"


class PlatformClient:
    """Makes requests to the platform, each on a new connection."""

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)

    async def fetch_endpoints(self) -> list[ListedEndpoint]:
        """Return the full endpoint list.

        Raises:
            OSError, EOFError: The connection failed or closed before the response was complete.
            ValueError: The response is not a list document.
        """
        return parse_endpoint_list(json.loads(await self._request(LIST_REQUEST)))

    async def notify(self, event_id: str, outcome: EventOutcome) -> None:
        """Notify the platform of the final outcome of an event; give up after a few failed attempts."""
        body = json.dumps({"message": event_id, "outcome": outcome}).encode()
        request = b"POST /status HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for _ in range(MAX_NOTIFICATION_ATTEMPTS):
            try:
                await self._request(request)
                return
            except (OSError, EOFError):
                await asyncio.sleep(NOTIFICATION_RETRY_DELAY_S)

    async def _request(self, data: bytes) -> bytes:
        """Send an encoded request; return the body of the response."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        with closing(writer):
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return await reader.readexactly(length)
