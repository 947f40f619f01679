"""Errors of commands, with the exit code and advice for the operator."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

from sassafraswharf.codes import ResultCode
from sassafraswharf.console.exit_codes import ExitCode


Body: TypeAlias = Mapping[str, object]

_ADVICE: Final[Mapping[int, str]] = {
    ResultCode.SETTINGS_UNREADABLE: "check the path and the JSON syntax of the file",
    ResultCode.SETTINGS_UNKNOWN_FIELD: "docs/settings.md lists the fields",
    ResultCode.SETTINGS_INVALID_VALUE: "docs/settings.md lists types and ranges",
    ResultCode.SETTINGS_MISSING_FIELD: "docs/settings.md lists the required fields",
    ResultCode.KEY_FILE_UNUSABLE: "name a key file that only you can read, mode 0400",
    ResultCode.CONFIGURATION_CONFLICT: "run `sassafraswharf show`, include the change "
    "that won, and apply again with a new id",
    ResultCode.CHANGE_ID_REUSED: "apply again with another --change-id, or without it",
    ResultCode.CONFIGURATION_INVALID: "correct the field, then try it with "
    "`sassafraswharf check FILE`",
    ResultCode.CONFIGURATION_UNAVAILABLE: "run `sassafraswharf voters` to see which "
    "control hosts are live",
    ResultCode.NOT_IN_FORCE_EVERYWHERE: "the change stays accepted; run "
    "`sassafraswharf status` to follow the hosts that are behind",
    ResultCode.UNKNOWN_SERVICE: "run `sassafraswharf show` for the services",
    ResultCode.UNKNOWN_UPSTREAM: "run `sassafraswharf upstreams` or "
    "`sassafraswharf suspects` for the names",
    ResultCode.INVALID_TRANSITION: "run `sassafraswharf upstreams` for its state",
    ResultCode.UNKNOWN_HOST: "run `sassafraswharf status` for the hosts",
    ResultCode.NOT_LEADER: "an election may be in progress; try again in a second",
    ResultCode.PROPOSAL_TIMEOUT: "it is unknown whether the change was made; look at "
    "it before you try again",
    ResultCode.VOTER_CHANGE_REFUSED: "run `sassafraswharf voters`; one change at a "
    "time, and a learner must have caught up",
    ResultCode.OPERATOR_UNAUTHENTICATED: "pass --operator-key FILE with the key of "
    "this deployment",
    ResultCode.PEER_UNREACHABLE: "pass --admin ADDRESS:PORT of a control host, or "
    "--settings FILE",
}
_UNREACHABLE: Final = frozenset(
    {
        ResultCode.PEER_UNREACHABLE,
        ResultCode.PROPOSAL_TIMEOUT,
        ResultCode.NOT_LEADER,
        ResultCode.CONFIGURATION_UNAVAILABLE,
    }
)


class Refusal(NamedTuple):
    """Why a command did not succeed, and the whole answer if there was one."""

    code: int
    message: str
    body: Body

    @property
    def advice(self) -> str | None:
        """What the operator can do next."""
        return _ADVICE.get(self.code)

    @property
    def exit_code(self) -> ExitCode:
        """The exit code of a command that ends with this refusal."""
        if self.code == ResultCode.NOT_IN_FORCE_EVERYWHERE:
            return ExitCode.NOT_EVERYWHERE
        return ExitCode.UNREACHABLE if self.code in _UNREACHABLE else ExitCode.REFUSED
