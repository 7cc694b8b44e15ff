"""Measures the event loop lag of a laboratory process, so that a run with a slow laboratory becomes void."""

import asyncio

from swiftthread.lab.run_records import EventLoopLagged, RecordWriter, monotonic_ms

# Time between two measurements.
CHECK_INTERVAL_MS = 10.0
# Time that one record covers.
REPORT_INTERVAL_MS = 250.0


class EventLoopLagMonitor:
    """Measures how much later than requested sleeps end, and records the largest lag of each interval."""

    def __init__(self, process: str, record_writer: RecordWriter) -> None:
        self._process = process
        self._record_writer = record_writer
        self._max_lag_ms = 0.0
        self._reported_at = monotonic_ms()

    async def check(self) -> bool:
        """Sleep for one check interval and measure its lag. Return whether a record was written."""
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
