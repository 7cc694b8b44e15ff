"""Stream types that several test modules use."""

from swiftthread.routing.settings import StreamType

IDEMPOTENT = StreamType(1500.0, 10000.0, effect="idempotent")

DEDUPLICATED = StreamType(
    3000.0, 16000.0, effect="deduplicated", deduplication_window_ms=6000.0, late_weight=0.5
)

NON_IDEMPOTENT = StreamType(3000.0, 16000.0)
