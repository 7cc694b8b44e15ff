"""The source of random numbers that all parts of one router share."""

import random
from collections.abc import Callable


class Jitter:
    """Draws of one seeded generator; `uniform` may be replaced to make a run follow another sequence."""

    __slots__ = ("uniform",)

    def __init__(self, seed: int) -> None:
        self.uniform: Callable[[float, float], float] = random.Random(seed).uniform
