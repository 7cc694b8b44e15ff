"""How late the event loop of a laboratory process runs, recorded so that a slow laboratory voids its runs."""

import asyncio

from swiftthread.lab.run_records import EventLoopLagged, RecordWriter, monotonic_ms

CHECK_INTERVAL_MS = 10.0  # ms between two checks
REPORT_INTERVAL_MS = 250.0  # ms that one record covers


class EventLoopLagMonitor:
    """Measures by how much sleeps overrun, and records the longest overrun of each interval."""

    def __init__(self, process: str, record_writer: RecordWriter) -> None:
        self._process = process
        self._record_writer = record_writer
        self._max_lag_ms = 0.0
        self._reported_at = monotonic_ms()

    async def check(self) -> bool:
        """Sleep for one check interval and measure; return whether a record was written."""
        expected_at = monotonic_ms() + CHECK_INTERVAL_MS
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000.0)
        now = monotonic_ms()
        self._max_lag_ms = max(self._max_lag_ms, now - expected_at)
        if now - self._reported_at < REPORT_INTERVAL_MS:
            return False
        self._record_writer.write(EventLoopLagged(now, self._process, self._max_lag_ms))
        self._max_lag_ms = 0.0
        self._reported_at = now
        return True
