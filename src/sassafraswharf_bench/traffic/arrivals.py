"""Generated request arrivals: times, request classes and keys."""

from __future__ import annotations

import ipaddress
import random

from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import urlsplit


if TYPE_CHECKING:
    from collections.abc import Iterator


LOOKUP = "lookup"
BOOKING = "booking"
DEPOSIT = "deposit"
CLASSES = (LOOKUP, BOOKING, DEPOSIT)


class Traffic(NamedTuple):
    """The offered load; it ends at ``requests`` requests or after ``duration_s``.

    ``hot_share`` of the requests go to ``hot_keys`` of the ``keys`` keys. Every
    ``hot_move_s`` the hot set moves to other keys; 0 disables the move.
    """

    rate: float = 100.0
    requests: int = 1000
    duration_s: float = 60.0
    keys: int = 1000
    hot_keys: int = 10
    hot_share: float = 0.5
    hot_move_s: float = 0.0
    booking_share: float = 0.1
    deposit_share: float = 0.05
    seed: int = 1


class Arrival(NamedTuple):
    """One scheduled request, ``at_s`` seconds after the start."""

    number: int
    at_s: float
    kind: str
    key: str


def generate_arrivals(traffic: Traffic) -> Iterator[Arrival]:
    """Yield Poisson arrivals until the number or the duration is reached."""
    rng = random.Random(traffic.seed)
    at_s = 0.0
    for number in range(traffic.requests):
        at_s += rng.expovariate(traffic.rate)
        if at_s >= traffic.duration_s:
            return
        kind = _draw_class(traffic, rng.random())
        yield Arrival(number, at_s, kind, _draw_key(traffic, at_s, rng))


def _draw_class(traffic: Traffic, draw: float) -> str:
    if draw < traffic.booking_share:
        return BOOKING
    if draw < traffic.booking_share + traffic.deposit_share:
        return DEPOSIT
    return LOOKUP


def _draw_key(traffic: Traffic, at_s: float, rng: random.Random) -> str:
    if rng.random() >= traffic.hot_share:
        return f"k{rng.randrange(traffic.keys)}"
    moves = int(at_s / traffic.hot_move_s) if traffic.hot_move_s else 0
    first = moves * traffic.hot_keys
    return f"k{(first + rng.randrange(traffic.hot_keys)) % traffic.keys}"


def loopback_url(url: str) -> str:
    """Return the URL without its path; raise ValueError unless it is loopback.

    Host names are rejected, because they may resolve to another host.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or parts.hostname is None:
        raise ValueError(f"{url} is not an http URL")
    try:
        address = ipaddress.ip_address(parts.hostname)
    except ValueError:
        raise ValueError(f"{url} does not name an IP address") from None
    if not address.is_loopback:
        raise ValueError(f"{url} is not a loopback address")
    return f"http://{parts.netloc}"
