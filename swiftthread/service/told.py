"""What a node is told at start: its configuration, read and checked once."""

import json

from swiftthread.terms import Malformed, doubts, names_of, terms_of
from swiftthread.wire.line import address_of

LATER = ("listen", "state", "limits", "settings")  # read at a start alone: what is held and out rests on them


class Told:
    """The start object's parts, each in the form in which it is used."""

    def __init__(self, environ, anew=False):
        """`anew`: read while running.

        Then the file says where discovery is; the environment is the start's.
        """
        path = environ.get("LB_CONFIG")
        if not path:
            raise Malformed("LB_CONFIG names no configuration")
        try:
            with open(path, encoding="utf-8") as source:
                conf = json.load(source)
        except OSError as fault:
            raise Malformed(f"the configuration {path} cannot be read: {fault.strerror}") from None
        except ValueError as fault:
            raise Malformed(f"the configuration {path} is no JSON: {fault}") from None
        try:
            self.name = environ.get("LB_NAME") or conf["name"]
            self.listen = address_of(environ.get("LB_LISTEN") or conf["listen"])
            self.discovery = address_of(not anew and environ.get("LB_DISCOVERY") or conf["discovery"])
            self.state = environ.get("LB_STATE") or conf["state"]
            self.seed, self.known, self.limits = (
                int(str(conf["seed"]), 16),
                conf.get("known"),
                conf.get("limits") or {},
            )
            self.terms, self.report_names = terms_of(conf["settings"])
            self.doubts = list(doubts(conf["settings"]))
            if not isinstance(self.known, dict):
                self.known = None  # the watch will tell
            self.later = {part: conf.get(part) for part in LATER}
            self.streams, self.kinds, self.zones, self.tenants = names_of(conf["settings"])
        except Malformed as fault:
            raise Malformed(f"the configuration {path}: {fault}") from None
        except KeyError as fault:
            raise Malformed(f"the configuration lacks {fault}") from None
        except (ValueError, TypeError, AttributeError) as fault:
            raise Malformed(f"the configuration cannot be read: {fault}") from None
