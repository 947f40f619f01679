"""Run the fault soak: ``python -m sassafraswharf_bench.soak --seed 1 --seeds 50``.

The exit status is 1 when a promise was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import signal
import sys
import tempfile
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.soak.checks import check
from sassafraswharf_bench.soak.configuration_checks import ACKNOWLEDGED
from sassafraswharf_bench.soak.fault import Fault
from sassafraswharf_bench.soak.schedule import Schedule
from sassafraswharf_bench.soak.soak_run import SoakRun


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf_bench.soak.ledger import Ledger
    from sassafraswharf_bench.soak.violation import Violation


GRANT_MODES = ("call", "heartbeat")
"""Ways in which upstreams are granted keys, by the remainder of the seed."""


def parse_options(words: Sequence[str] | None) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(prog="python -m sassafraswharf_bench.soak")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--seconds", type=float, default=30.0, help="of faults")
    parser.add_argument("--hosts", type=int, default=5, help="number of routers")
    parser.add_argument("--net", type=int, default=70, help="127.NET.0.0 is used")
    parser.add_argument(
        "--grants", choices=GRANT_MODES, help="how keys are granted; the seed decides"
    )
    parser.add_argument("--report", type=Path, help="a line of JSON for each seed")
    parser.add_argument("--logs", type=Path, default=Path("soak-logs"))
    parser.add_argument("--print", action="store_true", help="print the schedule only")
    parser.add_argument("--play", type=Path, help="a schedule that was printed")
    return parser.parse_args(words)


def schedule_of(options: argparse.Namespace, seed: int, run: SoakRun) -> list[Fault]:
    """Return the schedule of a seed or the one of a file."""
    if options.play is not None:
        lines = options.play.read_text().splitlines()
        return [Fault.parse(line) for line in lines if line.startswith("{")]
    machines = run.fleet.machines
    routers = [one.name for one in machines.routers]
    controls = [one.name for one in machines.controls]
    return Schedule(seed, routers, controls).draw(options.seconds)


def play_seed(options: argparse.Namespace, seed: int) -> list[Violation]:
    """Play one seed, print its line and keep its logs if something broke."""
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as name:
        folder = Path(name)
        grants = options.grants or GRANT_MODES[seed % len(GRANT_MODES)]
        run = SoakRun(seed, options.hosts, options.net, grants, folder)
        faults = schedule_of(options, seed, run)
        if options.print:
            sys.stdout.writelines(f"{fault.line()}\n" for fault in faults)
            return []
        ledger = asyncio.run(run.play(faults))
        breaks = check(ledger)
        report = {"seed": seed, "grants": grants, **summary(faults, ledger, breaks)}
        if options.report is not None:
            with options.report.open("a") as file:
                file.write(json.dumps(report) + "\n")
        if breaks:
            save_records(options.logs / f"seed-{seed}", folder, faults, ledger, breaks)
    for found in breaks:
        sys.stdout.write(f"  {found.rule} {found.subject}: {found.text}\n")
    counts = " ".join(f"{key}={value}" for key, value in report.items())
    sys.stdout.write(f"{counts}\n")
    sys.stdout.flush()
    return breaks


def summary(
    faults: list[Fault], ledger: Ledger, breaks: list[Violation]
) -> dict[str, Any]:
    """Return the line of a seed."""
    outcomes = [one.outcome for one in ledger.exchanges]
    served = [one for one in ledger.exchanges if one.status == 200]
    signals = [one.kind for one in ledger.signals]
    return {
        "faults": len(faults),
        "requests": len(outcomes),
        "served": len(served),
        "cut": outcomes.count("cut"),
        "late": outcomes.count("late"),
        "runs": len(ledger.runs),
        "holds": len(ledger.holds),
        "leaves": len(ledger.leaves),
        "rollouts": len(ledger.rollouts),
        "changes": sum(one.status == ACKNOWLEDGED for one in ledger.changes),
        "overruns": signals.count("overrun"),
        "lag_s": round(ledger.loop_lag_s, 3),
        "breaks": len(breaks),
    }


def save_records(
    target: Path,
    folder: Path,
    faults: list[Fault],
    ledger: Ledger,
    breaks: list[Violation],
) -> None:
    """Keep schedule, logs, records and breaks of a seed."""
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for log in folder.glob("*.log"):
        shutil.copy(log, target)
    records = {
        "schedule": [fault.line() for fault in faults],
        "breaks": [json.dumps(one._asdict()) for one in breaks],
        "exchanges": [
            json.dumps({**one._asdict(), "body": len(one.body)})
            for one in ledger.exchanges
        ],
        "runs": [
            json.dumps({**one._asdict(), "body": len(one.body)}) for one in ledger.runs
        ],
        "holds": [json.dumps(one._asdict()) for one in ledger.holds],
        "signals": [json.dumps(one._asdict()) for one in ledger.signals],
        "changes": [json.dumps(one._asdict()) for one in ledger.changes],
    }
    for name, lines in records.items():
        (target / f"{name}.jsonl").write_text("".join(f"{one}\n" for one in lines))


def main(words: Sequence[str] | None = None) -> int:
    """Play all seeds and return the exit status."""
    options = parse_options(words)
    # A soak that is told to stop still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    broken = [
        seed
        for seed in range(options.seed, options.seed + options.seeds)
        if play_seed(options, seed)
    ]
    if broken:
        sys.stdout.write(f"seeds that broke a promise: {broken}\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
