"""Runs every invariant check on the records of one soak run."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf_bench.soak.answer_checks import check_answers
from sassafraswharf_bench.soak.answer_checks import check_denials
from sassafraswharf_bench.soak.answer_checks import check_refusals
from sassafraswharf_bench.soak.answer_checks import check_runs
from sassafraswharf_bench.soak.configuration_checks import check_changes
from sassafraswharf_bench.soak.configuration_checks import check_reads
from sassafraswharf_bench.soak.configuration_checks import check_rollouts
from sassafraswharf_bench.soak.configuration_checks import check_routes
from sassafraswharf_bench.soak.stop_checks import check_losses
from sassafraswharf_bench.soak.stop_checks import check_processes
from sassafraswharf_bench.soak.upstream_checks import check_leaves
from sassafraswharf_bench.soak.upstream_checks import check_owners


if TYPE_CHECKING:
    from sassafraswharf_bench.soak.ledger import Ledger
    from sassafraswharf_bench.soak.violation import Violation


CHECKS: Final = (
    check_answers,
    check_runs,
    check_refusals,
    check_denials,
    check_losses,
    check_processes,
    check_owners,
    check_leaves,
    check_changes,
    check_reads,
    check_routes,
    check_rollouts,
)


def check(ledger: Ledger) -> list[Violation]:
    """Return every violation in the records of a run."""
    return [found for one in CHECKS for found in one(ledger)]
