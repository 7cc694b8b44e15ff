"""The baselines' requests to the platform: the endpoint list, and notifications of outcomes."""

import asyncio
import json
from contextlib import closing

from swiftthread.lab.node_configuration import ListedEndpoint, parse_endpoint_list, split_address
from swiftthread.lab.outcomes import EventOutcome

NOTIFY_ATTEMPTS = 5  # attempts to notify of one outcome
NOTIFY_RETRY_DELAY_S = 0.1  # s between them
LIST_REQUEST = b"GET /catalog/members HTTP/1.1\r\nHost: p\r\n\r\n"


class PlatformClient:
    """Makes each request on a connection of its own."""

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)

    async def fetch_endpoints(self) -> list[ListedEndpoint]:
        """Return the whole endpoint list.

        Raises:
            OSError, EOFError: There was no whole response.
            ValueError: It was no list.
        """
        return parse_endpoint_list(json.loads(await self._request(LIST_REQUEST)))

    async def notify(self, event_id: str, outcome: EventOutcome) -> None:
        """Notify the platform of an event's outcome, in a few attempts."""
        body = json.dumps({"message": event_id, "outcome": outcome}).encode()
        request = b"POST /status HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for _ in range(NOTIFY_ATTEMPTS):
            try:
                await self._request(request)
                return
            except (OSError, EOFError):
                await asyncio.sleep(NOTIFY_RETRY_DELAY_S)

    async def _request(self, data: bytes) -> bytes:
        """Return the body of the response to an encoded request."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        with closing(writer):
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return await reader.readexactly(length)
