"""Merges the decision logs of several processes into a trace of one request."""

from __future__ import annotations

import json

from typing import Annotated
from typing import Any
from typing import Final
from typing import NamedTuple

from cyclopts import Parameter
from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.console.input_file import read_input
from sassafraswharf.console.output import print_json
from sassafraswharf.console.output import print_line
from sassafraswharf.console.output import print_note
from sassafraswharf.console.output import print_refusal
from sassafraswharf.console.refusal import Refusal


EXAMPLES: Final = """\
sassafraswharf trace 9c41d07be2a35f68 side-1.log side-2.log core-1.log
sassafraswharf trace 9c41d07be2a35f68 *.log --around 2
cat *.log | sassafraswharf trace 9c41d07be2a35f68 - --json
"""
STATE_CHANGE_KINDS: Final = frozenset(
    {
        "configuration_in_force",
        "control_found",
        "control_lost",
        "fleet_change",
        "leadership",
        "start",
        "stopping",
        "upstream_leaves",
        "upstream_state",
    }
)
"""Kinds of lines that record a change in a process's view of the fleet."""
COMMON_FIELDS: Final = ("time", "host", "kind")


class LogLine(NamedTuple):
    """One readable line of a decision log."""

    time: float
    fields: dict[str, Any]


def trace(
    request: str,
    /,
    *files: str,
    around: float = 0.0,
    as_json: Annotated[bool, Parameter("--json", negative=())] = False,
) -> int:
    """Show the decisions of all processes about a request, ordered by time.

    Parameters
    ----------
    request
        The id of the request; calls made while it ran are shown too.
    files
        Log files; - reads standard input. Text before the first brace of a line
        is ignored.
    around
        Also show leaders, owners and versions that changed up to this many
        seconds before the first and after the last decision.
    as_json
        Print an object with the list of lines.
    """
    if not files:
        message = "no log file is given; - reads standard input"
        print_refusal(Refusal(ResultCode.COMMAND_FAILED, message, {}))
        return ExitCode.USAGE
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        text = read_input(file)
        if isinstance(text, Err):
            failure = text.err_value
            print_refusal(Refusal(failure.code, failure.message, {}))
            return ExitCode.REFUSED
        for position, content in enumerate(text.ok_value.splitlines(), 1):
            line = parse_line(content)
            if isinstance(line, Err):
                unreadable += 1
                print_note(f"{file}:{position}: {line.err_value}")
            elif line.ok_value is not None:
                lines.append(line.ok_value)
    selected = select_lines(lines, request, around)
    if as_json:
        print_json({"request": request, "lines": [one.fields for one in selected]})
    for one in [] if as_json else selected:
        print_line(format_line(one))
    if not any(concerns_request(line, request) for line in selected):
        reason = f"no readable line is about request {request}"
        message = f"{reason}; {unreadable} lines were unreadable"
        print_refusal(Refusal(ResultCode.COMMAND_FAILED, message, {}))
        return ExitCode.REFUSED
    return ExitCode.DONE


def parse_line(text: str) -> Result[LogLine | None, str]:
    """Return a line of a decision log, ``None`` for other text.

    >>> parse_line('x {"time": 2.0, "kind": "start"}').unwrap().time
    2.0
    >>> parse_line("{broken").err()
    'the line is not JSON'
    """
    start = text.find("{")
    if start < 0:
        return Ok(None)
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return Err("the line is not JSON")
    if not isinstance(fields, dict) or not isinstance(fields.get("time"), float | int):
        return Ok(None)
    return Ok(LogLine(float(fields["time"]), fields))


def concerns_request(line: LogLine, request: str) -> bool:
    """Return whether a line is about a request or a call that it made."""
    named = str(line.fields.get("request", ""))
    return named == request or named.startswith(f"{request}.")


def select_lines(lines: list[LogLine], request: str, around_s: float) -> list[LogLine]:
    """Return the lines to show, ordered by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if concerns_request(line, request)]
    if not own or around_s <= 0:
        return own
    first, last = own[0].time - around_s, own[-1].time + around_s
    return [
        line
        for line in ordered
        if concerns_request(line, request)
        or (
            first <= line.time <= last and line.fields.get("kind") in STATE_CHANGE_KINDS
        )
    ]


def format_line(line: LogLine) -> str:
    """Format one line of the trace."""
    fields = line.fields
    rest = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in COMMON_FIELDS
    )
    return f"{line.time:.3f} {fields.get('host')} {fields.get('kind')} {rest}"
