"""The program with a planted fault.

What FAULT names raises in each of the calls whose numbers stand behind it, as in
"swiftthread.routing.router:Router.decide 2 3". No faults of ours are known there; what is
tested is what one would cost.
"""

import os
import sys
from functools import reduce
from importlib import import_module
from itertools import count

from swiftthread.__main__ import main

place, *numbers = os.environ["FAULT"].split()
module, path = place.split(":")
*owners, name = path.split(".")
owner = reduce(getattr, owners, import_module(module))
right, calls, wrong = getattr(owner, name), count(1), set(map(int, numbers))


def planted(*args, **more):
    if next(calls) in wrong:
        raise RuntimeError("a planted fault")
    return right(*args, **more)


setattr(owner, name, planted)
sys.exit(main())
