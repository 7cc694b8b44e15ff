"""Notices to the platform: a line for each event that ends undelivered, repeated until answered 204."""

import json

import anyio
from loguru import logger

from swiftthread.client.http_exchange import HttpResponse, exchange, parser
from swiftthread.network.connection import ConnectionClosed, connect

AT_ONCE = 200  # lines in one body: well inside 64 KiB


class ResultNotifier:
    """Owner of the connection that notices go on."""

    def __init__(self, address, buffers, response_timeout_ms, retry_pause_ms):
        self.address, self.buffers, self.answer, self.pause = (
            address,
            buffers,
            response_timeout_ms,
            retry_pause_ms,
        )
        self.waiting = {}  # event id -> (line, flag); emptied as notices are answered
        self.bell, self.posting = anyio.Event(), anyio.CancelScope()
        self.line, self.line_to = None, None

    def change_address(self, address):
        """The platform is elsewhere: what is not answered yet is told there, maybe once more."""
        if address != self.address:
            self.address = address
            self.posting.cancel()

    async def notify(self, event_id, decision):
        """Return once the platform has the notice."""
        row = {"message": event_id, "outcome": decision.outcome}
        if decision.retry_after_ms:
            row["retry_in_ms"] = round(decision.retry_after_ms)
        told = anyio.Event()
        self.waiting[event_id] = (json.dumps(row), told)
        self.bell.set()
        await told.wait()

    async def run(self):
        """Post what waits, in batches, until cancelled."""
        try:
            while True:
                if not self.waiting:
                    self.bell = anyio.Event()
                    await self.bell.wait()
                batch = dict(list(self.waiting.items())[:AT_ONCE])
                if await self._post(batch):
                    for ident, (_, told) in batch.items():
                        del self.waiting[ident]
                        told.set()
                else:
                    logger.warning("notices are not answered, {} wait", len(self.waiting))
                    await anyio.sleep(self.pause / 1000.0)
        finally:
            self._close()

    async def _post(self, batch):
        body = "".join(line + "\n" for line, _ in batch.values()).encode()
        address, response = self.address, HttpResponse()
        if self.line is not None and not (self.line_to == address and self.line.is_untouched()):
            self._close()
        try:
            with anyio.move_on_after(self.answer / 1000.0) as self.posting:
                if self.line is None:
                    self.line, self.line_to = await connect(address, self.buffers, parser()), address
                await exchange(
                    self.line, "POST", "/status", [("Host", "discovery")], body, response, self.posting
                )
        except ConnectionClosed:
            pass
        except Exception:  # guards the node: it is told again, on another connection
            logger.exception("notices failed")
            response = HttpResponse()
        if self.line is not None and not response.allows_reuse(self.line):
            self._close()
        return response.is_complete and response.status == 204

    def _close(self):
        if self.line is not None:
            self.line.close()
            self.line = None
