"""Converts an incident into the settings that its nodes are started with, under the platform's key names."""

from typing import Any

from swiftthread.lab.incident import Effect, Incident, Stream

PLATFORM_EFFECTS = {
    Effect.IDEMPOTENT: "retryable",
    Effect.DEDUPLICATED: "dedup",
    Effect.NON_IDEMPOTENT: "fragile",
}


def settings_for(incident: Incident, position: int) -> dict[str, Any]:
    """Return the settings in the configuration of the node at `position` in the fleet."""
    fleet = incident.fleet
    is_rate_listed = any(
        destination.rate_per_s and destination.listed for destination in incident.destination
    )
    return {
        "Balancers": fleet.nodes,
        "Position": position,
        "Kinds": ["plain"],
        "Localities": incident.halls,
        "Weights": "nominal" if is_rate_listed else "off",
        "Period": 0.005,
        "Discovery": "push",
        "Stats": {"Fields": [], "How": "off"},
        "Realms": [],
        "Domain": {
            "CallsOut": fleet.calls_out,
            "KindBatch": [fleet.batch],
            "RoutesApart": [False],
            "Carriage": [0.0] * len(incident.halls),
            "LosesWorth": "even",
        },
        "Obligations": _obligations(incident),
        "Permissions": _permissions(incident),
        "Profiles": [_profile(stream) for stream in incident.stream],
    }


def _obligations(incident: Incident) -> dict[str, float]:
    rules = incident.rules
    return {
        "FallMultiple": rules.fall_multiple,
        "ColdFrom": rules.cold_from,
        "WarmUp": rules.warm_up_ms / 1000.0,
        "KeyRest": rules.key_rest_ms / 1000.0,
        "StopSendingWithin": rules.grace_ms / 1000.0,
        "Fall": rules.fall_ms / 1000.0,
    }


def _permissions(incident: Incident) -> dict[str, float | bool]:
    fleet = incident.fleet
    return {
        "TryLimit": fleet.most_sends,
        "MaxOpen": fleet.room,
        "Keepalive": 5.0,
        "ConnectTimeout": 0.5,
        "Probes": fleet.probes,
        "RetryAfter": True,
        "MaxRetryAfter": 3.0,
    }


def _profile(stream: Stream) -> dict[str, str | float | bool]:
    return {
        "Name": stream.name,
        "Effect": PLATFORM_EFFECTS[stream.effect],
        "Aim": stream.slo_ms / 1000.0,
        "Deadline": stream.max_age_ms / 1000.0,
        "Value": stream.utility,
        "LateWorth": stream.late_utility,
        "Group": stream.group.value,
        "Window": stream.window_ms / 1000.0,
        "InTurn": stream.in_order,
    }
