"""The program with an injected fault.

The environment variable FAULT names a function and the numbers of its calls that raise an
exception, for example "swiftthread.routing.router:Router.decide 2 3". No real faults are
known in these functions; the tests check what one would cost.
"""

import os
import sys
from functools import reduce
from importlib import import_module
from itertools import count

from swiftthread.__main__ import main

target, *failing_numbers = os.environ["FAULT"].split()
module, path = target.split(":")
*owners, name = path.split(".")
owner = reduce(getattr, owners, import_module(module))
original, call_numbers, failing_calls = getattr(owner, name), count(1), set(map(int, failing_numbers))


def fail_or_call(*args, **kwargs):
    if next(call_numbers) in failing_calls:
        raise RuntimeError("an injected fault")
    return original(*args, **kwargs)


setattr(owner, name, fail_or_call)
sys.exit(main())
