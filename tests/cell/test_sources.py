"""Checks that no intent is lost when owners fail before sealing their sources."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.cell import slot_changes
from sassafraswharf.ownership.values import Holding


STEPS = st.lists(
    st.one_of(st.integers(1, 4), st.sampled_from(["ready", "release"])), max_size=12
)


def check_sources(steps: list[int | str]) -> None:
    """Check that an owner with no sources left knows every intent of the slot."""
    holding = Holding(None, 0, False, ())
    written = 0
    known: dict[int, set[int]] = {session: set() for session in range(5)}
    for step in steps:
        sources = holding.sources
        if isinstance(step, int):
            new = step
            sources = slot_changes.sources_for_next_owner(holding, new)
            holding = Holding("u", new, False, sources)
        elif holding.session == 0:
            continue
        elif step == "release":
            sources = slot_changes.sources_for_next_owner(holding, 0)
            holding = Holding(None, 0, False, sources)
            continue
        else:
            for source in sources:
                known[holding.session] |= known[source]
            holding = holding._replace(sources=())
        if not holding.sources:
            assert known[holding.session] == set(range(written)), "an intent is lost"
            known[holding.session].add(written)
            written += 1


@given(STEPS)
def test_every_intent_reaches_the_next_owner(steps: list[int | str]) -> None:
    """Guards against at-most-once requests that run twice after two failures."""
    check_sources(steps)


@pytest.mark.parametrize(
    "faulty_sources",
    [lambda _, __: (), lambda holding, new: tuple({holding.session} - {new, 0})],
    ids=["no sources", "only the previous session"],
)
def test_check_fails_without(
    faulty_sources: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check of sources that can't fail."""
    monkeypatch.setattr(slot_changes, "sources_for_next_owner", faulty_sources)
    with pytest.raises(AssertionError, match="an intent is lost"):
        check_sources([1, 2, 3, "ready"])
