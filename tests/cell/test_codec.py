from __future__ import annotations

import msgspec
import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.cell import commands
from sassafraswharf.cell.codec import COMMAND_TAGS
from sassafraswharf.cell.codec import decode_command
from sassafraswharf.cell.codec import decode_reply
from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.codec import encode_reply
from sassafraswharf.cell.state import CellState
from sassafraswharf.codes import ResultCode
from sassafraswharf.exceptions import StorageError


SAMPLE = encode_command(
    commands.AssignSlots("diary", (commands.Assignment(0, 4, "u", 3),), 1.5)
)


@pytest.mark.parametrize("kind", COMMAND_TAGS.values())
@given(data=st.data())
def test_commands_survive_encoding(kind: type, data: st.DataObject) -> None:
    """Guards against commands that replicas decode to a different value."""
    finite = st.floats(allow_nan=False)
    with_floats = {"at": finite, "speed": finite} if "speed" in kind._fields else {}
    value = data.draw(st.builds(kind, **(with_floats or {"at": finite})))
    try:
        encoded = encode_command(value)
    except (OverflowError, msgspec.MsgspecError):
        return
    assert decode_command(encoded).unwrap() == value


DAMAGED = st.one_of(
    st.binary(max_size=80),
    st.integers(0, len(SAMPLE) - 1).map(lambda length: SAMPLE[:length]),
    st.tuples(st.integers(0, len(SAMPLE) - 1), st.binary(min_size=1, max_size=1)).map(
        lambda at: SAMPLE[: at[0]] + at[1] + SAMPLE[at[0] + 1 :]
    ),
)


@given(DAMAGED)
def test_damaged_input_changes_nothing(data: bytes) -> None:
    """Guards against corrupt log entries that raise in the apply loop."""
    state = CellState()
    reply = decode_reply(state.apply(1, data)).unwrap()
    assert reply.code != ResultCode.OK or decode_command(data).is_ok()
    decode_reply(data)
    assert state.version in (0, 1)


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_damaged_snapshot_is_refused(cut: int) -> None:
    """Guards against a replica that restores a truncated state."""
    with pytest.raises(StorageError, match="5005"):
        CellState().restore(CellState().snapshot()[:cut])


def test_replies_survive_encoding() -> None:
    """Guards against replies that the proposer can't decode."""
    for reply in (commands.Reply(0, "", 4, 1), commands.SessionOpened(0, "", 4, 4)):
        assert decode_reply(encode_reply(reply)).unwrap() == reply
