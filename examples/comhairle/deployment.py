"""Configuration of comhairle: python deployment.py | sassafraswharf apply -."""  # noqa: INP001

from __future__ import annotations

from sassafraswharf.declare import deployment
from sassafraswharf.declare import path_key
from sassafraswharf.declare import print_configuration
from sassafraswharf.declare import service
from sassafraswharf.declare import weights


CATALOGUE_AND_DIARY = service(
    "catalogue-diary",
    prefix="/magicians",
    key=path_key(0),
    repeatable=["GET /*/catalogue/**", "GET /*/diary", "PUT /*/diary/*"],
    at_most_once=["POST /*/diary"],
    deadline_s=2.0,
    admit="any",
    calls=["booking"],
)
BOOKING = service(
    "booking",
    prefix="/bookings",
    key=None,
    repeatable=["GET /*", "GET /"],
    at_most_once=["POST /", "DELETE /*"],
    admit="any",
    calls=["deposit"],
)
DEPOSIT = service(
    "deposit",
    prefix="/deposits",
    key=None,
    repeatable=["GET /*"],
    at_most_once=["POST /", "POST /*/refund"],
)

if __name__ == "__main__":
    print_configuration(
        deployment(
            weights=weights(unavailable=6, imbalance=2, churn=2),
            services=[CATALOGUE_AND_DIARY, BOOKING, DEPOSIT],
        )
    )
