"""Runs all cost measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.slopes import hops
from sassafraswharf_bench.slopes import mailboxes
from sassafraswharf_bench.slopes import memory
from sassafraswharf_bench.slopes import renewals
from sassafraswharf_bench.slopes import storage
from sassafraswharf_bench.slopes import tables


if TYPE_CHECKING:
    from pathlib import Path


def measure_all(folder: Path) -> dict[str, Any]:
    """Run all measurements; temporary files are created in the folder.

    The result has ``slopes``, a number per name, and ``points``, the measured
    values behind them. Seconds of processor time end in ``_s``.
    """
    parts = {
        "renewals": renewals.measure(),
        "mailboxes": mailboxes.measure(),
        "forwarding": hops.measure_forwarding(),
        "journal": hops.measure_journal(),
        "tables": tables.measure(),
        "memory": memory.measure(),
        "storage": storage.measure(folder),
    }
    points = {name: part.pop("points") for name, part in parts.items()}
    slopes = {name: value for part in parts.values() for name, value in part.items()}
    return {"slopes": slopes, "points": points}
