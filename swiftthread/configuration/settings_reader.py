"""Reads the settings document of a node, from the configuration file or from the simulator's protocol."""

import json
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from swiftthread.routing.settings import Effect, Settings, StreamType

EFFECTS = {"retryable": Effect.IDEMPOTENT, "dedup": Effect.DEDUPLICATED, "fragile": Effect.NON_IDEMPOTENT}
"""Effects by their names in the document."""
DEDUPLICATION_GROUPS = ("all", "zone", "cell")
DEFAULT_DEDUPLICATION_GROUP = "cell"
"""Each endpoint is a separate group, which is the conservative interpretation of a missing value."""

Name = TypeVar("Name", bound=str | None)


class MalformedInput(Exception):
    """The input does not follow its format; the text says which part is wrong and why."""


@dataclass(frozen=True)
class SettingNumbers:
    """Numbers that the router uses for the names in the settings document."""

    stream_type_numbers: dict[str, int]
    kind_numbers: dict[str, int]
    zone_numbers: dict[str, int]
    tenant_numbers: dict[str | None, int]


def parse_settings(text: bytes | bytearray | memoryview) -> Any:
    """Parse the settings document that the simulator sends.

    Raises:
        MalformedInput: The document is not valid JSON.
    """
    try:
        return json.loads(bytes(text))
    except ValueError as error:
        raise MalformedInput(f"the settings document is not valid JSON: {error}") from None


def read_settings(document: Mapping[str, Any]) -> Settings:
    """Read the settings of a router; a setting that the document leaves out has its default value.

    Raises:
        MalformedInput: A value has the wrong type or format.
    """
    try:
        values = _read_values(document)
    except (KeyError, ValueError, AttributeError, TypeError) as error:
        raise MalformedInput(f"the settings document cannot be read: {error}") from None
    return Settings(**{name: value for name, value in values.items() if value is not None})


def _read_values(document: Mapping[str, Any]) -> dict[str, Any]:
    # Returns the fields of `Settings` by name; the value is None if the document leaves the setting out.
    domain = document.get("Domain") or {}
    obligations = document.get("Obligations") or {}
    permissions = document.get("Permissions") or {}
    profiles = document.get("Profiles") or ()
    tenants = document.get("Realms") or ()
    keepalive_s = permissions.get("Keepalive")
    return {
        "stream_types": [read_stream_type(number, profile) for number, profile in enumerate(profiles)],
        "node_count": document.get("Balancers"),
        "node_position": document.get("Position"),
        "max_calls_in_flight": domain.get("CallsOut"),
        "max_pending_events": permissions.get("MaxOpen"),
        "max_attempts": permissions.get("TryLimit"),
        "batch_size_by_kind": domain.get("KindBatch"),
        "separate_routes_by_kind": domain.get("RoutesApart"),
        "carriage_cost_by_zone": domain.get("Carriage"),
        "halves_late_value": domain.get("LosesWorth") == "by_half",
        "listed_rates": document.get("Weights"),
        "quotas": [tenant.get("QuotaPerS") for tenant in tenants],
        "over_quota_weight": document.get("OverShareWorth"),
        "may_send_health_checks": permissions.get("Probes"),
        "may_send_retry_after": permissions.get("RetryAfter"),
        "max_retry_after_ms": _to_ms(permissions.get("MaxRetryAfter")),
        "polls_discovery": document.get("Discovery") == "ask",
        "max_list_request_pause_ms": _to_ms(obligations.get("AskWithin")),
        "overload_multiple": obligations.get("FallMultiple"),
        "cold_capacity_share": obligations.get("ColdFrom"),
        "warm_up_ms": _to_ms(obligations.get("WarmUp")),
        "ordering_pause_ms": _to_ms(obligations.get("KeyRest")),
        "scheduling_interval_ms": _to_ms(document.get("Period")),
        "connect_timeout_ms": _to_ms(permissions.get("ConnectTimeout")),
        "keepalive_ms": _to_ms(keepalive_s) if keepalive_s else None,
    }


def read_report_fields(document: Mapping[str, Any]) -> Sequence[str]:
    """Read the names of the load report's fields, in the order of the simulator's protocol."""
    return (document.get("Stats") or {}).get("Fields") or []


def read_stream_type(number: int, profile: Mapping[str, Any]) -> StreamType:
    """Read a stream type; an unclear effect, deduplication group or window is interpreted conservatively.

    Raises:
        MalformedInput: A value has the wrong type or format.
    """
    # `number` is the position of the profile in the document, for error messages.
    effect_name: Any = profile.get("Effect")
    try:
        return StreamType(
            latency_objective_ms=_to_ms(profile.get("Aim")),
            max_age_ms=_to_ms(profile.get("Deadline")),
            priority_weight=profile.get("Value", 1.0),
            late_weight=profile.get("LateWorth", 0.0),
            effect=EFFECTS.get(effect_name, Effect.NON_IDEMPOTENT),
            deduplication_group=profile.get("Group", DEFAULT_DEDUPLICATION_GROUP),
            deduplication_window_ms=_to_ms(profile.get("Window")),
            is_ordered=bool(profile.get("InTurn")),
        )
    except (ValueError, AttributeError, TypeError) as error:
        raise MalformedInput(f"the settings' Profiles[{number}] cannot be read: {error}") from None


def find_settings_warnings(document: Mapping[str, Any]) -> Iterator[str]:
    """Yields a warning for each setting whose value is unclear and is interpreted conservatively."""
    for number, profile in enumerate(document.get("Profiles") or ()):
        for warning in _stream_type_warnings(profile):
            yield f"the settings' Profiles[{number}] ({profile.get('Name')}): {warning}"


def _stream_type_warnings(profile: Mapping[str, Any]) -> Iterator[str]:
    effect = profile.get("Effect")
    if effect not in EFFECTS:
        yield f"Effect must be one of {', '.join(EFFECTS)}, not {effect!r}; it is treated as non-idempotent"
        return
    if EFFECTS[effect] != Effect.DEDUPLICATED:
        return
    group = profile.get("Group")
    if group not in DEDUPLICATION_GROUPS:
        yield f"Group is unknown: {group!r}; each endpoint is treated as a separate deduplication group"
    window_s = profile.get("Window")
    if not (window_s or 0.0) > 0.0:
        yield f"Window is {window_s!r}, not a positive time; events that may have run are not sent again"


def read_setting_numbers(document: Mapping[str, Any]) -> SettingNumbers:
    """Read the names that the configuration, discovery and clients use, with their numbers in the router."""
    return SettingNumbers(
        stream_type_numbers=_number_by_name(
            profile.get("Name") for profile in document.get("Profiles") or ()
        ),
        kind_numbers=_number_by_name(document.get("Kinds")),
        zone_numbers=_number_by_name(document.get("Localities")),
        tenant_numbers=_number_by_name(tenant.get("Name") for tenant in document.get("Realms") or ()),
    )


def _number_by_name(names: Iterable[Name] | None) -> dict[Name, int]:
    return {name: number for number, name in enumerate(names or ())}


def _to_ms(seconds: float | None) -> float:
    # Convert seconds to ms, None to 0; raises ValueError if the result is not finite.
    value = 1000.0 * (seconds or 0.0)
    if not math.isfinite(value):
        raise ValueError(f"{seconds} is not a finite duration")
    return value
