"""Measure the slopes on this host and print the capacity tables.

``--write`` also stores the measured values in ``docs/capacity.json`` and the
tables in ``docs/CAPACITY.md``. ``--from`` prints the tables of stored values
without measuring.
"""

from __future__ import annotations

import argparse
import datetime as dt
import json
import os
import platform

from pathlib import Path
from typing import Any

from sassafraswharf_bench.sizing.render import render
from sassafraswharf_bench.sizing.render import replace_section
from sassafraswharf_bench.slopes.suite import measure_all


PAGE = Path("docs/CAPACITY.md")
VALUES = Path("docs/capacity.json")


def measure(folder: Path) -> dict[str, Any]:
    """Return the measured values with date and platform."""
    now = dt.datetime.now(dt.UTC)
    load_before = os.getloadavg()[0]
    return {
        "date": now.strftime("%Y-%m-%d %H:%M UTC"),
        "python": platform.python_version(),
        "processors": os.cpu_count(),
        **measure_all(folder),
        "load": [load_before, os.getloadavg()[0]],
    }


def main() -> None:
    """Run the measurements and print the tables."""
    parser = argparse.ArgumentParser(prog="python -m sassafraswharf_bench.capacity")
    parser.add_argument("--from", dest="values", type=Path, help="stored values")
    parser.add_argument("--json", type=Path, help="store the values in this file")
    parser.add_argument("--write", action="store_true", help="update docs/")
    parser.add_argument(
        "--folder", type=Path, default=Path(), help="folder on the disk to measure"
    )
    arguments = parser.parse_args()
    if arguments.values is not None:
        measured = json.loads(arguments.values.read_text())
    else:
        measured = measure(arguments.folder)
    block = render(measured)
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(measured, indent=1) + "\n")
    if arguments.write:
        page = replace_section(PAGE.read_text(), block)
        VALUES.write_text(json.dumps(measured, indent=1) + "\n")
        PAGE.write_text(page)
    print(block)


if __name__ == "__main__":
    main()
