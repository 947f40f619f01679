"""Schema of a deployment's configuration: fields, ranges and defaults."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Final
from typing import Literal
from typing import NotRequired
from typing import TypedDict

import msgspec


if TYPE_CHECKING:
    from sassafraswharf.settings.typed_values import Defaults


DEFAULT_SLOT_COUNT: Final = 4_096
MAX_SLOT_COUNT: Final = 65_536
DEFAULT_DEADLINE_S: Final = 5.0
DEFAULT_RETENTION_S: Final = 600
DEFAULT_BODY_BYTES: Final = 1_048_576
MAX_BODY_BYTES: Final = 67_108_864
DEFAULT_MOVES_PER_MINUTE: Final = 0
DEFAULT_MINIMUM_BENEFIT: Final = 0.05

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*\Z", max_length=63)]
Prefix = Annotated[
    str, msgspec.Meta(pattern=r"^(/[A-Za-z0-9._~-]+)+\Z", max_length=255)
]
PathPattern = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(/|(/([A-Za-z0-9._~-]+|\*))+|(/([A-Za-z0-9._~-]+|\*))*/\*\*)\Z",
        max_length=255,
    ),
]
Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1_000.0)]
Method = Literal["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"]

KeyRule = TypedDict(
    "KeyRule",
    {
        "from": Literal["path", "header", "query"],
        "segment": NotRequired[Annotated[int, msgspec.Meta(ge=0, le=31)]],
        "name": NotRequired[
            Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+\Z", max_length=63)]
        ],
    },
)
"""Where the key of a request is read from.

``{"from": "path", "segment": 0}`` is the first path segment after the prefix.
``{"from": "header", "name": ...}`` and ``{"from": "query", "name": ...}`` name
a header or a query parameter.
"""


class OperationDocument(TypedDict):
    """Whether requests with one method and path may run more than once.

    ``path`` is matched against the path after the prefix. ``*`` matches one
    segment; ``**`` as the last segment matches one or more. The most specific
    operation is used: literal segments come before wildcards.
    """

    method: Method
    path: PathPattern
    run: Literal["repeatable", "at_most_once"]


class ServiceDocument(TypedDict):
    """One service and how it is partitioned by key."""

    name: Name
    prefix: Prefix
    key: KeyRule | None
    slot_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOT_COUNT)]
    operations: Annotated[
        list[OperationDocument], msgspec.Meta(min_length=1, max_length=256)
    ]
    deadline_s: Annotated[float, msgspec.Meta(ge=0.05, le=300.0)]
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)]
    admit: Literal["any", "operator"]
    calls: Annotated[list[Name], msgspec.Meta(max_length=256)]
    retention_s: Annotated[int, msgspec.Meta(ge=60, le=600)]


class WeightsDocument(TypedDict):
    """Weights of the three cost terms of slot placement."""

    unavailable: Weight
    imbalance: Weight
    churn: Weight


class PlacementDocument(TypedDict):
    """Limits on moves of slots that have an available owner.

    ``moves_per_minute`` 0 means a quarter of the slots of a service.
    """

    moves_per_minute: Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    minimum_benefit: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class DeploymentDocument(TypedDict):
    """The whole configuration of a deployment."""

    weights: WeightsDocument
    services: Annotated[list[ServiceDocument], msgspec.Meta(max_length=256)]
    placement: PlacementDocument


DOCUMENT_DEFAULTS: Final[Defaults] = {
    ServiceDocument: {
        "slot_count": DEFAULT_SLOT_COUNT,
        "deadline_s": DEFAULT_DEADLINE_S,
        "max_body_bytes": DEFAULT_BODY_BYTES,
        "admit": "operator",
        "calls": [],
        "retention_s": DEFAULT_RETENTION_S,
    },
    PlacementDocument: {
        "moves_per_minute": DEFAULT_MOVES_PER_MINUTE,
        "minimum_benefit": DEFAULT_MINIMUM_BENEFIT,
    },
    DeploymentDocument: {
        "placement": {
            "moves_per_minute": DEFAULT_MOVES_PER_MINUTE,
            "minimum_benefit": DEFAULT_MINIMUM_BENEFIT,
        },
    },
}
