"""Builders of changes, and variants of the code with safeguards disabled."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

from sassafraswharf.configuration.commands import ApplyChange
from sassafraswharf.configuration.commands import ChangeReply
from sassafraswharf.configuration.commands import decode_reply
from sassafraswharf.configuration.commands import encode_command
from sassafraswharf.configuration.revision_holder import RevisionHolder
from sassafraswharf.configuration.state import ConfigurationState
from sassafraswharf.configuration.validation import DocumentBytes
from sassafraswharf.configuration.validation import check_document
from sassafraswharf.configuration.validation import encode_document


if TYPE_CHECKING:
    from sassafraswharf.configuration.reply_cache import CachedReply


@cache
def document(churn: float = 1.0, slot_count: int = 64) -> DocumentBytes:
    operation = {"method": "GET", "path": "/*", "run": "repeatable"}
    service = {
        "name": "diary",
        "prefix": "/diary",
        "key": {"from": "path", "segment": 0},
        "slot_count": slot_count,
        "operations": [operation],
    }
    weights = {"unavailable": 5.0, "imbalance": 2.0, "churn": churn}
    value = {"weights": weights, "services": [service]}
    return encode_document(check_document(value).unwrap())


def change(
    change_id: str, base: int, churn: float = 1.0, author: str = "aoife"
) -> ApplyChange:
    return ApplyChange(change_id, base, document(churn), author, 1_790_000_000.0)


def send(
    state: ConfigurationState, command: ApplyChange, index: int = 1
) -> ChangeReply:
    return decode_reply(state.apply(index, encode_command(command))).unwrap()


class NoBaseCheck(ConfigurationState):
    def is_current_base(self, base_revision: int) -> bool:  # noqa: ARG002
        return True


class NoReplyCache(ConfigurationState):
    def find_cached_reply(self, change_id: str) -> CachedReply | None:  # noqa: ARG002
        return None


class NoBaseCheckNoReplyCache(NoBaseCheck, NoReplyCache):
    pass


class AnyRevisionHolder(RevisionHolder):
    def is_newer(self, revision: int) -> bool:  # noqa: ARG002
        return True
