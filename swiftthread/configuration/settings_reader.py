"""The one reader of the start object that an instance is handed, on the drill's wire or on sockets."""

import json
import math

from swiftthread.routing.settings import Effect, Settings, StreamType

EFFECTS = {"retryable": Effect.IDEMPOTENT, "dedup": Effect.DEDUPLICATED, "fragile": Effect.NON_IDEMPOTENT}


class MalformedInput(Exception):
    """The input is not what the given pages allow; the text says what and where."""


def ms(seconds):
    """Seconds (None: 0) as milliseconds; ValueError unless finite."""
    value = 1000.0 * (seconds or 0.0)
    if not math.isfinite(value):
        raise ValueError(f"{seconds} is no length of time")
    return value


def parse_settings(text):
    """The settings document that the simulator sends, as text."""
    try:
        return json.loads(bytes(text))
    except ValueError as fault:
        raise MalformedInput(f"the settings of an instance cannot be read: {fault}") from None


def read_settings(conf):
    """The settings of a router; what the document leaves out has its default."""
    try:
        domain, rules = conf.get("Domain") or {}, conf.get("Obligations") or {}
        allowed = conf.get("Permissions") or {}
        streams = [read_stream_type(number, row) for number, row in enumerate(conf.get("Profiles") or ())]
        values = {
            "stream_types": streams,
            "node_count": conf.get("Balancers"),
            "node_position": conf.get("Position"),
            "max_calls_in_flight": domain.get("CallsOut"),
            "max_pending_events": allowed.get("MaxOpen"),
            "max_attempts": allowed.get("TryLimit"),
            "batch_size_by_kind": domain.get("KindBatch"),
            "separate_routes_by_kind": domain.get("RoutesApart"),
            "carriage_cost_by_zone": domain.get("Carriage"),
            "halves_late_value": domain.get("LosesWorth") == "by_half",
            "listed_rates": conf.get("Weights"),
            "quotas": [row.get("QuotaPerS") for row in conf.get("Realms") or ()],
            "over_quota_weight": conf.get("OverShareWorth"),
            "may_send_health_checks": allowed.get("Probes"),
            "may_send_retry_after": allowed.get("RetryAfter"),
            "max_retry_after_ms": ms(allowed.get("MaxRetryAfter")),
            "polls_discovery": conf.get("Discovery") == "ask",
            "poll_within_ms": ms(rules.get("AskWithin")),
            "overload_multiple": rules.get("FallMultiple"),
            "cold_capacity_share": rules.get("ColdFrom"),
            "warm_up_ms": ms(rules.get("WarmUp")),
            "ordering_rest_ms": ms(rules.get("KeyRest")),
            "tick_ms": ms(conf.get("Period")),
            "connect_timeout_ms": ms(allowed.get("ConnectTimeout")),
            "keepalive_ms": ms(allowed["Keepalive"]) if allowed.get("Keepalive") else None,
        }
    except (KeyError, ValueError, AttributeError, TypeError) as fault:
        raise MalformedInput(f"the settings of an instance cannot be read: {fault}") from None
    return Settings(**{name: value for name, value in values.items() if value is not None})


def read_report_fields(conf):
    """Names of the load report's fields, in the order of the simulator's protocol."""
    return (conf.get("Stats") or {}).get("Fields") or []


def read_stream_type(number, row):
    """A stream type from its profile. What cannot be understood of its effect is read the cautious way."""
    try:
        return StreamType(
            latency_objective_ms=ms(row.get("Aim")),
            max_age_ms=ms(row.get("Deadline")),
            priority_weight=row.get("Value", 1.0),
            late_weight=row.get("LateWorth", 0.0),
            effect=EFFECTS.get(row.get("Effect"), Effect.NON_IDEMPOTENT),
            deduplication_group=row.get("Group", "cell"),
            deduplication_window_ms=ms(row.get("Window")),
            is_ordered=bool(row.get("InTurn")),
        )
    except (ValueError, AttributeError, TypeError) as fault:
        raise MalformedInput(f"the settings' Profiles[{number}] cannot be read: {fault}") from None


def doubtful_settings(conf):
    """A line for each part of the settings that was read the cautious way."""
    for number, row in enumerate(conf.get("Profiles") or ()):
        where = f"the settings' Profiles[{number}] ({row.get('Name')})"
        if row.get("Effect") not in EFFECTS:
            yield (
                f"{where}: Effect is none of {', '.join(EFFECTS)}: {row.get('Effect')!r}; "
                "it is held to be non-idempotent"
            )
        elif EFFECTS[row["Effect"]] == Effect.DEDUPLICATED:
            if row.get("Group") not in ("all", "zone", "cell"):
                yield (
                    f"{where}: Group is none that is known: {row.get('Group')!r}; "
                    "each endpoint is a group of its own"
                )
            if not (row.get("Window") or 0.0) > 0.0:
                yield f"{where}: Window is {row.get('Window')!r}; nothing that may have run is sent again"


def read_names(conf):
    """The names by which sockets call what the module knows by number: four maps from name to number."""

    def numbered(rows):
        return {name: number for number, name in enumerate(rows or ())}

    return (
        numbered(row.get("Name") for row in conf.get("Profiles") or ()),
        numbered(conf.get("Kinds")),
        numbered(conf.get("Localities")),
        numbered(row.get("Name") for row in conf.get("Realms") or ()),
    )
