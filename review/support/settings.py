"""Settings of small deployments, from the ranges of the operators' site files."""

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}


def brussels():
    """Return settings like those of brussels-midi."""
    return {
        "Balancers": 2,
        "Position": 0,
        "Period": 0.005,
        "Discovery": "push",
        "Weights": "rough",
        "KindOfService": "deliver",
        "Kinds": ["operator", "shipper"],
        "Localities": ["dc-anderlecht"],
        "MyZone": 0,
        "Domain": {
            "CallsOut": 8,
            "KindBatch": [1, 1],
            "RoutesApart": [False, False],
            "Carriage": [0.0],
            "LosesWorth": "by_half",
        },
        "Obligations": {
            "ColdFrom": 0.2,
            "Fall": 3.0,
            "FallMultiple": 2.0,
            "StopSendingWithin": 0.25,
            "WarmUp": 13.0,
        },
        "Permissions": {
            "Cancel": True,
            "ConnectTimeout": 1.0,
            "Keepalive": 10.0,
            "MaxOpen": 100,
            "MaxRetryAfter": 2.0,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
            "TryLimit": 8,
        },
        "Profiles": [
            {
                "Name": "booking",
                "Effect": "dedup",
                "Group": "all",
                "Window": 12.0,
                "Aim": 4.0,
                "Deadline": 20.0,
                "LateWorth": 0.4,
                "Value": 1.0,
            },
            {
                "Name": "status",
                "Effect": "retryable",
                "Group": "all",
                "Aim": 0.8,
                "Deadline": 6.0,
                "LateWorth": 0.1,
                "Value": 2.0,
            },
        ],
        "Realms": [],
        "Stats": {"Fields": [], "How": "off"},
        "WorthBy": "request",
    }


def sapporo():
    """Return settings like those of sapporo-campus."""
    return {
        "Balancers": 2,
        "Position": 0,
        "Period": 0.005,
        "Discovery": "push",
        "Weights": "nominal",
        "KindOfService": "deliver",
        "Kinds": ["chain-head-office", "store-services"],
        "Localities": ["hall-east", "hall-west"],
        "MyZone": 0,
        "Domain": {
            "CallsOut": 13,
            "KindBatch": [5, 1],
            "RoutesApart": [False, True],
            "Carriage": [0.06, 0.0],
            "LosesWorth": "even",
        },
        "Obligations": {
            "ColdFrom": 0.18,
            "Fall": 2.0,
            "FallMultiple": 2.0,
            "StopSendingWithin": 1.0,
            "WarmUp": 9.5,
        },
        "Permissions": {
            "Cancel": True,
            "ConnectTimeout": 1.5,
            "Keepalive": 5.0,
            "MaxOpen": 274,
            "MaxRetryAfter": 3.0,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
            "TryLimit": 8,
        },
        "Profiles": [
            {
                "Name": "sale-posting",
                "Effect": "dedup",
                "Group": "zone",
                "Window": 12.0,
                "Aim": 4.0,
                "Deadline": 28.0,
                "LateWorth": 0.5,
                "Value": 1.0,
            },
            {
                "Name": "till-status",
                "Effect": "retryable",
                "Group": "all",
                "Aim": 1.5,
                "Deadline": 5.0,
                "LateWorth": 0.0,
                "Value": 3.0,
            },
        ],
        "Realms": [],
        "Stats": {"Fields": [], "How": "off"},
        "WorthBy": "request",
    }


def grangemouth():
    """Return settings like those of grangemouth-depot."""
    return {
        "Balancers": 3,
        "Position": 0,
        "Period": 0.005,
        "Discovery": "push",
        "Weights": "off",
        "KindOfService": "deliver",
        "Kinds": ["anchor-client", "casual-client"],
        "Localities": ["depot-office", "weighbridge-house", "workshop"],
        "MyZone": 0,
        "Domain": {
            "CallsOut": 6,
            "KindBatch": [20, 1],
            "RoutesApart": [True, False],
            "Carriage": [0.0, 0.03, 0.06],
            "LosesWorth": "even",
        },
        "Obligations": {
            "ColdFrom": 0.22,
            "Fall": 3.0,
            "FallMultiple": 2.0,
            "StopSendingWithin": 0.25,
            "WarmUp": 9.2,
        },
        "Permissions": {
            "Cancel": True,
            "ConnectTimeout": 1.0,
            "Keepalive": 10.0,
            "MaxOpen": 100,
            "MaxRetryAfter": 2.0,
            "Probes": True,
            "RetryAfter": False,
            "SecondCopies": False,
            "TryLimit": 6,
        },
        "Profiles": [
            {
                "Name": "waste-ticket",
                "Effect": "dedup",
                "Group": "all",
                "Window": 6.0,
                "Aim": 2.5,
                "Deadline": 24.0,
                "LateWorth": 0.5,
                "Value": 1.0,
            },
            {
                "Name": "skip-status",
                "Effect": "retryable",
                "Group": "all",
                "Aim": 3.0,
                "Deadline": 16.0,
                "LateWorth": 0.4,
                "Value": 2.0,
            },
            {
                "Name": "account-charge",
                "Effect": "fragile",
                "Aim": 3.0,
                "Deadline": 28.0,
                "LateWorth": 0.3,
                "Value": 5.0,
            },
        ],
        "Realms": [],
        "Stats": {"Fields": ["x0", "x1"], "How": "inline"},
        "WorthBy": "request",
    }
