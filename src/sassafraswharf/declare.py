"""The operators' library: declares a deployment and prints its configuration.

A deployment is described by a short Python file, and its output is the
configuration that the system accepts::

    from sassafraswharf.declare import deployment, path_key, print_configuration
    from sassafraswharf.declare import service, weights

    print_configuration(
        deployment(
            weights=weights(unavailable=5, imbalance=2, churn=1),
            services=[
                service(
                    "diary",
                    prefix="/diary",
                    key=path_key(0),
                    repeatable=["GET /*", "GET /*/entries/*"],
                    at_most_once=["POST /*/entries"],
                    calls=["booking"],
                ),
                service(
                    "booking",
                    prefix="/bookings",
                    key=None,
                    repeatable=["GET /*"],
                    at_most_once=["POST /"],
                ),
            ],
        )
    )

It is put in force with ``python deployment.py | sassafraswharf apply -``.
"""

from __future__ import annotations

import json
import sys

from typing import TYPE_CHECKING
from typing import Literal
from typing import cast

from result import Err

from sassafraswharf.configuration.documents import DEFAULT_BODY_BYTES
from sassafraswharf.configuration.documents import DEFAULT_DEADLINE_S
from sassafraswharf.configuration.documents import DEFAULT_MINIMUM_BENEFIT
from sassafraswharf.configuration.documents import DEFAULT_MOVES_PER_MINUTE
from sassafraswharf.configuration.documents import DEFAULT_RETENTION_S
from sassafraswharf.configuration.documents import DEFAULT_SLOT_COUNT
from sassafraswharf.configuration.documents import DeploymentDocument
from sassafraswharf.configuration.documents import KeyRule
from sassafraswharf.configuration.documents import OperationDocument
from sassafraswharf.configuration.documents import PlacementDocument
from sassafraswharf.configuration.documents import ServiceDocument
from sassafraswharf.configuration.documents import WeightsDocument
from sassafraswharf.configuration.validation import check_document


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.configuration.documents import Method


def path_key(segment: int) -> KeyRule:
    """Take the key from a path segment; 0 is the first one after the prefix."""
    return {"from": "path", "segment": segment}


def header_key(name: str) -> KeyRule:
    """Take the key from a request header."""
    return {"from": "header", "name": name}


def query_key(name: str) -> KeyRule:
    """Take the key from a field of the query."""
    return {"from": "query", "name": name}


def weights(*, unavailable: float, imbalance: float, churn: float) -> WeightsDocument:
    """State how much each of the three measures counts, relative to the others."""
    return {"unavailable": unavailable, "imbalance": imbalance, "churn": churn}


def placement(
    *,
    moves_per_minute: int = DEFAULT_MOVES_PER_MINUTE,
    minimum_benefit: float = DEFAULT_MINIMUM_BENEFIT,
) -> PlacementDocument:
    """Limit the moves of slots whose owner is available."""
    return {"moves_per_minute": moves_per_minute, "minimum_benefit": minimum_benefit}


def service(
    name: str,
    *,
    prefix: str,
    key: KeyRule | None,
    repeatable: Sequence[str] = (),
    at_most_once: Sequence[str] = (),
    slot_count: int = DEFAULT_SLOT_COUNT,
    deadline_s: float = DEFAULT_DEADLINE_S,
    max_body_bytes: int = DEFAULT_BODY_BYTES,
    admit: Literal["any", "operator"] = "operator",
    calls: Sequence[str] = (),
    retention_s: int = DEFAULT_RETENTION_S,
) -> ServiceDocument:
    """Declare a service; ``key=None`` declares one that is not partitioned.

    Operations are written as ``"METHOD /path"``, with the path after the prefix;
    ``*`` stands for one segment and a last ``**`` for one or more. A request that
    matches both lists counts as at most once, because running it twice could do
    harm and refusing to repeat it can't.
    """
    return {
        "name": name,
        "prefix": prefix,
        "key": key,
        "slot_count": slot_count,
        "operations": [
            *(_operation(text, "at_most_once") for text in at_most_once),
            *(_operation(text, "repeatable") for text in repeatable),
        ],
        "deadline_s": deadline_s,
        "max_body_bytes": max_body_bytes,
        "admit": admit,
        "calls": list(calls),
        "retention_s": retention_s,
    }


def deployment(
    *,
    weights: WeightsDocument,
    services: Sequence[ServiceDocument],
    placement: PlacementDocument | None = None,
) -> DeploymentDocument:
    """Put the declared parts together."""
    limits: PlacementDocument = placement or {
        "moves_per_minute": DEFAULT_MOVES_PER_MINUTE,
        "minimum_benefit": DEFAULT_MINIMUM_BENEFIT,
    }
    return {"weights": weights, "services": list(services), "placement": limits}


def print_configuration(document: DeploymentDocument) -> None:
    """Print the configuration, or end the program with the field that is wrong."""
    checked = check_document(document)
    if isinstance(checked, Err):
        sys.exit(str(checked.err_value))
    print(json.dumps(checked.ok_value, indent=2))


def _operation(
    text: str, run: Literal["repeatable", "at_most_once"]
) -> OperationDocument:
    method, _, path = text.partition(" ")
    return {"method": cast("Method", method), "path": path.strip(), "run": run}
