from __future__ import annotations

import pytest

from sassafraswharf.declare import deployment
from sassafraswharf.declare import path_key
from sassafraswharf.declare import print_configuration
from sassafraswharf.declare import query_key
from sassafraswharf.declare import service
from sassafraswharf.declare import weights


WEIGHTS = weights(unavailable=1, imbalance=1, churn=1)


def test_at_most_once_operations_come_first() -> None:
    """Guards against a wider repeatable pattern that would win the match."""
    declared = service(
        "diary",
        prefix="/diary",
        key=query_key("id"),
        repeatable=["POST /**"],
        at_most_once=["POST /entries"],
    )
    runs = [operation["run"] for operation in declared["operations"]]
    assert runs == ["at_most_once", "repeatable"]


@pytest.mark.parametrize(
    ("text", "path"),
    [("GET", "operations[0].path"), ("/x", "operations[0].method")],
)
def test_a_mistake_ends_the_program_with_the_field(text: str, path: str) -> None:
    """Guards against half a document that is piped into apply."""
    declared = service("diary", prefix="/d", key=path_key(0), repeatable=[text])
    with pytest.raises(SystemExit) as ended:
        print_configuration(deployment(weights=WEIGHTS, services=[declared]))
    assert str(ended.value.code).startswith("[2003]")
    assert path in str(ended.value.code)
