"""Random generators that differ between the processes of a deployment."""

from __future__ import annotations

import random
import secrets


SEED_BYTES = 16


def create_generator(name: str) -> random.Random:
    """Return a generator for the process with this name.

    The time of day is no seed: hosts that start together may read the same time from
    a coarse clock. They would then draw the same election timeouts and choose the same
    upstreams.

    >>> create_generator("a").random() != create_generator("b").random()
    True
    """
    return random.Random(f"{name}/{secrets.token_hex(SEED_BYTES)}")
