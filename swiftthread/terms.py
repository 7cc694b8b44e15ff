"""The one reader of the start object that an instance is handed, on the drill's wire or on sockets."""

import json
import math

from swiftthread import plain

EFFECTS = {"retryable": plain.IDEMPOTENT, "dedup": plain.DEDUPLICATED, "fragile": plain.NON_IDEMPOTENT}


class Malformed(Exception):
    """The input is not what the given pages allow; the text says what and where."""


def ms(seconds):
    """Seconds (None: 0) as milliseconds; ValueError unless finite."""
    value = 1000.0 * (seconds or 0.0)
    if not math.isfinite(value):
        raise ValueError(f"{seconds} is no length of time")
    return value


def start_terms(text):
    """The same from the drill's wire, where it comes as text."""
    try:
        return terms_of(json.loads(bytes(text)))
    except ValueError as fault:
        raise Malformed(f"the settings of an instance cannot be read: {fault}") from None


def terms_of(conf):
    """What an instance is handed at start, under our names; what it leaves out stays out."""
    try:
        domain, rules = conf.get("Domain") or {}, conf.get("Obligations") or {}
        allowed, stats = conf.get("Permissions") or {}, conf.get("Stats") or {}
        streams = [stream_of(number, row) for number, row in enumerate(conf.get("Profiles") or ())]
        terms = {
            "streams": streams,
            "nodes": conf.get("Balancers"),
            "position": conf.get("Position"),
            "slots": domain.get("CallsOut"),
            "room": allowed.get("MaxOpen"),
            "most_sends": allowed.get("TryLimit"),
            "batch_by_kind": domain.get("KindBatch"),
            "apart_by_kind": domain.get("RoutesApart"),
            "carriage_by_zone": domain.get("Carriage"),
            "halving": domain.get("LosesWorth") == "by_half",
            "listed_rates": conf.get("Weights"),
            "quotas": [row.get("QuotaPerS") for row in conf.get("Realms") or ()],
            "over_quota_utility": conf.get("OverShareWorth"),
            "may_probe": allowed.get("Probes"),
            "may_advise": allowed.get("RetryAfter"),
            "most_advice_ms": ms(allowed.get("MaxRetryAfter")),
            "asks_for_list": conf.get("Discovery") == "ask",
            "ask_within_ms": ms(rules.get("AskWithin")),
            "fall_multiple": rules.get("FallMultiple"),
            "cold_from": rules.get("ColdFrom"),
            "warm_up_ms": ms(rules.get("WarmUp")),
            "key_rest_ms": ms(rules.get("KeyRest")),
            "tick_ms": ms(conf.get("Period")),
            "connect_ms": ms(allowed.get("ConnectTimeout")),
            "keepalive_ms": ms(allowed["Keepalive"]) if allowed.get("Keepalive") else None,
        }
    except (KeyError, ValueError, AttributeError, TypeError) as fault:
        raise Malformed(f"the settings of an instance cannot be read: {fault}") from None
    return {name: value for name, value in terms.items() if value is not None}, stats.get("Fields") or []


def stream_of(number, row):
    """A stream type from its profile. What cannot be understood of its effect is read the cautious way."""
    try:
        return plain.StreamType(
            slo_ms=ms(row.get("Aim")),
            max_age_ms=ms(row.get("Deadline")),
            utility=row.get("Value", 1.0),
            late_utility=row.get("LateWorth", 0.0),
            effect=EFFECTS.get(row.get("Effect"), plain.NON_IDEMPOTENT),
            group=row.get("Group", "cell"),
            window_ms=ms(row.get("Window")),
            in_order=bool(row.get("InTurn")),
        )
    except (ValueError, AttributeError, TypeError) as fault:
        raise Malformed(f"the settings' Profiles[{number}] cannot be read: {fault}") from None


def doubts(conf):
    """A line for each part of the settings that was read the cautious way."""
    for number, row in enumerate(conf.get("Profiles") or ()):
        where = f"the settings' Profiles[{number}] ({row.get('Name')})"
        if row.get("Effect") not in EFFECTS:
            yield (
                f"{where}: Effect is none of {', '.join(EFFECTS)}: {row.get('Effect')!r}; "
                "it is held to be non-idempotent"
            )
        elif EFFECTS[row["Effect"]] == plain.DEDUPLICATED:
            if row.get("Group") not in ("all", "zone", "cell"):
                yield (
                    f"{where}: Group is none that is known: {row.get('Group')!r}; "
                    "each endpoint is a group of its own"
                )
            if not (row.get("Window") or 0.0) > 0.0:
                yield f"{where}: Window is {row.get('Window')!r}; nothing that may have run is sent again"


def names_of(conf):
    """The names by which sockets call what the module knows by number: four maps from name to number."""

    def numbered(rows):
        return {name: number for number, name in enumerate(rows or ())}

    return (
        numbered(row.get("Name") for row in conf.get("Profiles") or ()),
        numbered(conf.get("Kinds")),
        numbered(conf.get("Localities")),
        numbered(row.get("Name") for row in conf.get("Realms") or ()),
    )
