"""The application ``sassafraswharf`` and its entry point."""

from __future__ import annotations

import asyncio
import sys

from typing import TYPE_CHECKING
from typing import Final

from cyclopts import App
from cyclopts import CycloptsError

from sassafraswharf import __version__
from sassafraswharf.console.commands import admit
from sassafraswharf.console.commands import apply
from sassafraswharf.console.commands import audit
from sassafraswharf.console.commands import check
from sassafraswharf.console.commands import drain
from sassafraswharf.console.commands import explain
from sassafraswharf.console.commands import journal_release
from sassafraswharf.console.commands import owners
from sassafraswharf.console.commands import release
from sassafraswharf.console.commands import remove
from sassafraswharf.console.commands import show
from sassafraswharf.console.commands import status
from sassafraswharf.console.commands import suspects
from sassafraswharf.console.commands import trace
from sassafraswharf.console.commands import upstreams
from sassafraswharf.console.commands import voter_add
from sassafraswharf.console.commands import voter_remove
from sassafraswharf.console.commands import voters
from sassafraswharf.console.exit_codes import EXIT_CODE_HELP
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.console.input_file import HYPHEN
from sassafraswharf.console.input_file import STANDARD_INPUT


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


CONFIGURATION: Final = "Configuration"
FLEET: Final = "Hosts and upstreams"
REQUESTS: Final = "Requests"
CONTROL: Final = "Control hosts"

READS_FILE: Final = frozenset({"apply", "check", "trace"})
COMMANDS: Final[Sequence[tuple[str, Callable[..., object], str, str]]] = (
    ("apply", apply.apply, apply.EXAMPLES, CONFIGURATION),
    ("show", show.show, show.EXAMPLES, CONFIGURATION),
    ("check", check.check, check.EXAMPLES, CONFIGURATION),
    ("audit", audit.audit, audit.EXAMPLES, CONFIGURATION),
    ("status", status.status, status.EXAMPLES, FLEET),
    ("owners", owners.owners, owners.EXAMPLES, FLEET),
    ("upstreams", upstreams.upstreams, upstreams.EXAMPLES, FLEET),
    ("admit", admit.admit, admit.EXAMPLES, FLEET),
    ("drain", drain.drain, drain.EXAMPLES, FLEET),
    ("remove", remove.remove, remove.EXAMPLES, FLEET),
    ("explain", explain.explain, explain.EXAMPLES, REQUESTS),
    ("suspects", suspects.suspects, suspects.EXAMPLES, REQUESTS),
    ("release", release.release, release.EXAMPLES, REQUESTS),
    (
        "journal-release",
        journal_release.journal_release,
        journal_release.EXAMPLES,
        REQUESTS,
    ),
    ("trace", trace.trace, trace.EXAMPLES, REQUESTS),
    ("voters", voters.voters, voters.EXAMPLES, CONTROL),
    ("voter-add", voter_add.voter_add, voter_add.EXAMPLES, CONTROL),
    ("voter-remove", voter_remove.voter_remove, voter_remove.EXAMPLES, CONTROL),
)


def build() -> App:
    """Return the application with all commands."""
    app = App(
        name="sassafraswharf",
        version=__version__,
        help="Operate a sassafraswharf deployment.",
        help_format="plaintext",
        help_epilogue=EXIT_CODE_HELP,
    )
    for name, function, examples, group in COMMANDS:
        epilogue = f"Examples:\n\n{_indented(examples)}\n\n{EXIT_CODE_HELP}"
        app.command(function, name=name, group=group, help_epilogue=epilogue)
    app.register_install_completion_command()
    return app


async def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        result = await build().run_async(
            _with_standard_input(arguments),
            exit_on_error=False,
            result_action="return_value",
        )
    except CycloptsError:
        return ExitCode.USAGE
    return result if isinstance(result, int) else ExitCode.DONE


def main() -> None:
    """Run the command line and end the process with its exit code."""
    try:
        sys.exit(int(asyncio.run(run(sys.argv[1:]))))
    except KeyboardInterrupt:
        sys.exit(130)


def _with_standard_input(arguments: Sequence[str]) -> list[str]:
    """Name standard input where a file is expected.

    cyclopts takes a lone hyphen for an unknown option. Its setting that allows
    leading hyphens would also take a mistyped option for the file.
    """
    if not arguments or arguments[0] not in READS_FILE:
        return list(arguments)
    return [STANDARD_INPUT if word == HYPHEN else word for word in arguments]


def _indented(text: str) -> str:
    return "\n".join(f"  {line}" for line in text.splitlines())
