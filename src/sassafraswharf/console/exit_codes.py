"""Exit codes of the command line, for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_EVERYWHERE = 4


EXIT_CODE_HELP = """\
Exit codes: 0 done; 1 refused, the message has a numbered code; 2 wrong usage;
3 no control host answered, or the outcome is unknown; 4 accepted, but not in
force on every live host in time."""
