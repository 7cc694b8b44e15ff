"""Keeps modules out of the process that its libraries import and the node never uses."""

# asyncio and hashlib do without OpenSSL, which takes 6 MB of a node's memory, where it is missing; anyio
# needs names of `ssl` to be there. A node opens no TLS connection, and no other file of this program may need
# the modules named here. Nothing may be imported that imports them before `leave_out_unused_modules` has run.

import importlib
import sys
from types import ModuleType

# Modules that are missing while the libraries are imported that have an alternative to them.
MISSING_MODULES = ("ssl", "_hashlib")
# Libraries that import them and have an alternative.
LIBRARIES_WITH_ALTERNATIVE = ("asyncio", "hashlib")
PLACEHOLDER_MODULE = "ssl"


class PlaceholderModule(ModuleType):
    """A module whose names are empty classes."""

    def __getattr__(self, name: str) -> type:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (), {"__module__": self.__name__})


def leave_out_unused_modules() -> None:
    """Import the libraries that can do without OpenSSL, and leave a placeholder for those that cannot."""
    if PLACEHOLDER_MODULE in sys.modules:
        return
    for name in MISSING_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]  # an import raises ModuleNotFoundError
    for name in LIBRARIES_WITH_ALTERNATIVE:
        importlib.import_module(name)
    for name in MISSING_MODULES:
        del sys.modules[name]
    sys.modules[PLACEHOLDER_MODULE] = PlaceholderModule(PLACEHOLDER_MODULE)
