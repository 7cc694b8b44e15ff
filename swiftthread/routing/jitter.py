"""The random number generator that all components of one router share."""

import random
from collections.abc import Callable


class Jitter:
    """Draws from one seeded generator; `uniform` may be replaced to make a run use another sequence."""

    __slots__ = ("uniform",)

    def __init__(self, seed: int) -> None:
        self.uniform: Callable[[float, float], float] = random.Random(seed).uniform
