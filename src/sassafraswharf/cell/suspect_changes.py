"""Applies commands to the suspect table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.cell.outcome import Outcome
from sassafraswharf.cell.outcome import accepted
from sassafraswharf.cell.outcome import refused
from sassafraswharf.codes import ResultCode
from sassafraswharf.quarantine.suspect_table import ReportedCrash


if TYPE_CHECKING:
    from sassafraswharf.cell.commands import ClearSuspects
    from sassafraswharf.cell.commands import ReleaseSuspect
    from sassafraswharf.cell.commands import ReportCrash
    from sassafraswharf.cell.commands import ReserveSolo
    from sassafraswharf.quarantine.suspect_table import SuspectTable


def report_crash(table: SuspectTable, command: ReportCrash, at: float) -> Outcome:
    """Count a crash for each request that was running."""
    seen = ReportedCrash(command.upstream, command.incarnation)
    changed = table.report_crash(seen, command.digests, command.alone, at)
    return accepted(_subject(changed), len(changed))


def reserve_solo(table: SuspectTable, command: ReserveSolo, at: float) -> Outcome:
    """Let one session run a suspect alone; this needs no update of the routers."""
    subject = command.digest.hex()
    if not table.reserve_solo_run(command.digest, command.session, command.seconds, at):
        return refused(ResultCode.SOLO_RESERVED, subject, "another host runs it")
    return Outcome(ResultCode.OK, subject, 0)


def clear(table: SuspectTable, command: ClearSuspects) -> Outcome:
    """Remove suspects that ran alone without a crash."""
    cleared = [digest for digest in command.digests if table.clear(digest)]
    return accepted(_subject(cleared), len(cleared))


def release(table: SuspectTable, command: ReleaseSuspect) -> Outcome:
    """End a conviction."""
    subject = command.digest.hex()
    if not table.release(command.digest):
        return refused(ResultCode.INVALID_TRANSITION, subject, "not convicted")
    return accepted(subject)


def _subject(digests: list[bytes]) -> str:
    return " ".join(digest.hex() for digest in digests)
