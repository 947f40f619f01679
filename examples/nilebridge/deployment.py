"""Configuration of nilebridge: python deployment.py | sassafraswharf apply -."""  # noqa: INP001

from __future__ import annotations

from sassafraswharf.declare import deployment
from sassafraswharf.declare import path_key
from sassafraswharf.declare import print_configuration
from sassafraswharf.declare import service
from sassafraswharf.declare import weights


COUNTER_TICKETS = service(
    "counter-tickets",
    prefix="/tickets",
    key=path_key(0),
    repeatable=["GET /*", "GET /*/**", "PUT /*/stage"],
    at_most_once=["POST /*/jobs"],
    deadline_s=2.0,
    admit="any",
)
WORKSHOP_SCHEDULING = service(
    "workshop-scheduling",
    prefix="/workshops",
    key=None,
    repeatable=["GET /**"],
    at_most_once=["POST /*/places", "DELETE /*/places/*"],
    admit="any",
    calls=["deposit-ledger"],
)
DEPOSIT_LEDGER = service(
    "deposit-ledger",
    prefix="/deposits",
    key=None,
    repeatable=["GET /*"],
    at_most_once=["POST /", "POST /*/refund"],
)

if __name__ == "__main__":
    print_configuration(
        deployment(
            weights=weights(unavailable=2, imbalance=6, churn=2),
            services=[COUNTER_TICKETS, WORKSHOP_SCHEDULING, DEPOSIT_LEDGER],
        )
    )
