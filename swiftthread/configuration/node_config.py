"""What a node is told at start: its configuration, read and checked once."""

import json

from swiftthread.configuration.settings_reader import (
    MalformedInput,
    doubtful_settings,
    read_names,
    read_report_fields,
    read_settings,
)
from swiftthread.network.address import parse_address

LATER = ("listen", "state", "limits", "settings")  # read at a start alone: what is held and out rests on them


class NodeConfig:
    """The start object's parts, each in the form in which it is used."""

    def __init__(self, environ, anew=False):
        """`anew`: read while running.

        Then the file says where discovery is; the environment is the start's.
        """
        path = environ.get("LB_CONFIG")
        if not path:
            raise MalformedInput("LB_CONFIG names no configuration")
        try:
            with open(path, encoding="utf-8") as source:
                conf = json.load(source)
        except OSError as fault:
            raise MalformedInput(f"the configuration {path} cannot be read: {fault.strerror}") from None
        except ValueError as fault:
            raise MalformedInput(f"the configuration {path} is no JSON: {fault}") from None
        try:
            self.name = environ.get("LB_NAME") or conf["name"]
            self.listen = parse_address(environ.get("LB_LISTEN") or conf["listen"])
            self.discovery = parse_address(not anew and environ.get("LB_DISCOVERY") or conf["discovery"])
            self.state = environ.get("LB_STATE") or conf["state"]
            self.seed, self.known_list, self.limits = (
                int(str(conf["seed"]), 16),
                conf.get("known"),
                conf.get("limits") or {},
            )
            self.settings = read_settings(conf["settings"])
            self.report_fields = read_report_fields(conf["settings"])
            self.doubtful_settings = list(doubtful_settings(conf["settings"]))
            if not isinstance(self.known_list, dict):
                self.known_list = None  # the watch will tell
            self.fixed_parts = {part: conf.get(part) for part in LATER}
            self.stream_type_numbers, self.kind_numbers, self.zone_numbers, self.tenant_numbers = read_names(
                conf["settings"]
            )
        except MalformedInput as fault:
            raise MalformedInput(f"the configuration {path}: {fault}") from None
        except KeyError as fault:
            raise MalformedInput(f"the configuration lacks {fault}") from None
        except (ValueError, TypeError, AttributeError) as fault:
            raise MalformedInput(f"the configuration cannot be read: {fault}") from None
