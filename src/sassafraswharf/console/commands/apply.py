"""Puts a configuration in force."""

from __future__ import annotations

import asyncio
import uuid

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Final
from typing import NamedTuple

from cyclopts import Parameter
from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.validation import check_document
from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.connection import open_client
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.console.fleet_status import fetch_status
from sassafraswharf.console.input_file import read_input
from sassafraswharf.console.output import print_line
from sassafraswharf.console.output import print_note
from sassafraswharf.console.output import print_refusal
from sassafraswharf.console.refusal import Refusal
from sassafraswharf.console.runner import Author
from sassafraswharf.console.runner import author_name
from sassafraswharf.settings.document import parse_document


if TYPE_CHECKING:
    from sassafraswharf.configuration.documents import DeploymentDocument
    from sassafraswharf.console.admin_client import AdminClient


EXAMPLES: Final = """\
sassafraswharf apply deployment.json --wait
python deployment.py | sassafraswharf apply -
sassafraswharf apply deployment.json --base 7
sassafraswharf apply deployment.json --base 7 --change-id 4f1c  (resend)
"""
POLL_INTERVAL_S: Final = 0.5
CONFIGURATION_PATH: Final = "/v1/configuration"


class _Submission(NamedTuple):
    document: DeploymentDocument
    change_id: str
    base: int | None
    author: str


async def apply(
    file: str,
    /,
    *,
    wait: Annotated[bool, Parameter(negative="")] = False,
    wait_s: float = 30.0,
    change_id: str | None = None,
    base: int | None = None,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Put the configuration in FILE in force; - reads standard input.

    Of two changes with the same base revision one wins; the other is refused
    with code 2001. A change whose answer was lost can be sent again with its
    --change-id and --base: it is never applied twice.

    Parameters
    ----------
    file
        JSON with comments, or - for standard input.
    wait
        Wait until all live hosts have the revision, and name those that don't.
    wait_s
        Seconds to wait at most.
    change_id
        Id of the change; by default a new one.
    base
        Revision that the change is based on; by default the newest one.
    """
    document = _read_document(file)
    if isinstance(document, Err):
        print_refusal(document.err_value)
        return document.err_value.exit_code
    opened = open_client(connection, with_key=True)
    if isinstance(opened, Err):
        print_refusal(opened.err_value)
        return opened.err_value.exit_code
    submission = _Submission(
        document.ok_value, change_id or uuid.uuid4().hex, base, author_name(author)
    )
    async with opened.ok_value as client:
        revision = await _submit(client, submission)
        if isinstance(revision, Err):
            print_refusal(revision.err_value)
            return revision.err_value.exit_code
        print_line(f"accepted as revision {revision.ok_value}")
        return (
            await _wait_until_in_force(client, revision.ok_value, wait_s)
            if wait
            else ExitCode.DONE
        )


def _read_document(file: str) -> Result[DeploymentDocument, Refusal]:
    text = read_input(file)
    if isinstance(text, Err):
        return Err(Refusal(*text.err_value, {}))
    parsed = parse_document(text.ok_value)
    if isinstance(parsed, Err):
        reason = f"{file}: {parsed.err_value}"
        return Err(Refusal(ResultCode.CONFIGURATION_INVALID, reason, {}))
    checked = check_document(parsed.ok_value)
    if isinstance(checked, Err):
        failure = checked.err_value
        return Err(Refusal(failure.code, f"{file}: {failure.message}", {}))
    return checked


async def _submit(client: AdminClient, submission: _Submission) -> Result[int, Refusal]:
    base = submission.base
    if base is None:
        newest = await client.get(CONFIGURATION_PATH)
        if isinstance(newest, Err):
            return newest
        base = _revision(newest.ok_value.get("revision"))
    body = {
        "change_id": submission.change_id,
        "base_revision": base,
        "author": submission.author,
        "document": submission.document,
    }
    answer = await client.post(CONFIGURATION_PATH, body, repeatable=True)
    if isinstance(answer, Ok):
        return Ok(_revision(answer.ok_value.get("revision")))
    if answer.err_value.exit_code == ExitCode.UNREACHABLE:
        again = f"--change-id {submission.change_id} --base {base}"
        print_note(f"to send the same change again, add: {again}")
    return answer


async def _wait_until_in_force(
    client: AdminClient, revision: int, wait_s: float
) -> int:
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + wait_s
    while True:
        fetched = await fetch_status(client)
        if isinstance(fetched, Err):
            behind = [f"unknown hosts: {fetched.err_value.message}"]
        else:
            behind = fetched.ok_value.lagging(revision)
            if not behind:
                live = sum(bool(h.get("live")) for h in fetched.ok_value.hosts.values())
                print_line(f"revision {revision} is in force on all {live} live hosts")
                return ExitCode.DONE
        if loop.time() + POLL_INTERVAL_S > give_up_at:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    reason = f"revision {revision} after {wait_s:g} s not in force on: "
    code = ResultCode.NOT_IN_FORCE_EVERYWHERE
    refusal = Refusal(code, reason + "; ".join(behind), {})
    print_refusal(refusal)
    return refusal.exit_code


def _revision(value: object) -> int:
    return value if isinstance(value, int) else 0
