"""Run all benchmarks and compare them with their bounds.

``python -m sassafraswharf_bench.bench`` prints one table. The exit status is 1
when a bound is broken.
"""

from __future__ import annotations

import argparse
import datetime as dt
import json
import os
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.bench import catch_up
from sassafraswharf_bench.bench import fleet_decisions
from sassafraswharf_bench.bench import idle
from sassafraswharf_bench.bench import offered_load
from sassafraswharf_bench.bench import recovery
from sassafraswharf_bench.bench import simulated
from sassafraswharf_bench.bench import storage
from sassafraswharf_bench.bench import throughput
from sassafraswharf_bench.bench.measure import Verdict
from sassafraswharf_bench.bench.report import render_section
from sassafraswharf_bench.bench.report import render_table
from sassafraswharf_bench.bench.report import replace_section


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf_bench.bench.measure import Measurement


PAGE = Path("docs/bench.md")
COMMAND = "python -m sassafraswharf_bench.bench"
BENCHMARKS: dict[str, Callable[[], list[Measurement]]] = {
    "recovery": recovery.run,
    "throughput": throughput.run,
    "idle": idle.run,
    "storage": storage.run,
    "placement": simulated.placement,
    "policy": simulated.policy,
    "fleet": fleet_decisions.run,
    "catch-up": catch_up.run,
    "load": offered_load.run,
}


def run_benchmarks(names: list[str]) -> dict[str, Any]:
    """Run benchmarks one after the other and return the rows with the date."""
    load_before = os.getloadavg()[0]
    started_at = time.monotonic()
    rows = []
    for name in names:
        sys.stderr.write(f"{name} ...\n")
        begun_at = time.monotonic()
        found = [row.as_row() for row in BENCHMARKS[name]()]
        sys.stderr.write(f"{name}: {time.monotonic() - begun_at:.0f} s\n")
        rows += [{"benchmark": name, **row} for row in found]
    command = COMMAND
    if names != list(BENCHMARKS):
        command += "".join(f" --only {name}" for name in names)
    return {
        "date": dt.datetime.now(dt.UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "command": command,
        "processors": os.cpu_count(),
        "seconds": time.monotonic() - started_at,
        "load": [load_before, os.getloadavg()[0]],
        "rows": rows,
    }


def main() -> None:
    """Run the benchmarks."""
    parser = argparse.ArgumentParser(prog=COMMAND, description=__doc__)
    parser.add_argument("--only", action="append", choices=BENCHMARKS)
    parser.add_argument("--json", type=Path, help="store the result in this file")
    parser.add_argument("--write", action="store_true", help="update docs/bench.md")
    arguments = parser.parse_args()
    names = [name for name in BENCHMARKS if name in (arguments.only or BENCHMARKS)]
    result = run_benchmarks(names)
    print(render_table(result["rows"]))
    load = ", ".join(f"{value:.1f}" for value in result["load"])
    print(f"{result['seconds']:.0f} s, load average before and after: {load}")
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(result, indent=1) + "\n")
    if arguments.write:
        PAGE.write_text(replace_section(PAGE.read_text(), render_section(result)))
    broken = [r for r in result["rows"] if r["verdict"] == Verdict.NOT_REACHED.value]
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
