"""Runs the load tool below and above the capacity of three hosts."""

from __future__ import annotations

import asyncio
import tempfile

from pathlib import Path
from typing import Any

from sassafraswharf_bench import load
from sassafraswharf_bench.bench.fleet import THREE_HOSTS
from sassafraswharf_bench.bench.fleet import BenchDeployment
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits


CONCURRENCY_PER_STAND_IN = 10
SERVICE_MS = 100.0
DURATION_S = 6.0
LOAD_FACTORS = (0.5, 1.5)
CAPACITY_PER_S = len(THREE_HOSTS) * CONCURRENCY_PER_STAND_IN * 1000 / SERVICE_MS
"""Requests per second that all stand-ins together can serve."""
WRONG_ANSWERS_BOUND = Bound(0, "promise P3")
VIOLATIONS_BOUND = Bound(0, "promises P4 and P5")


async def run_load(fleet: BenchDeployment, factor: float) -> dict[str, Any]:
    """Run the load tool against all hosts and return its result."""
    rate = factor * CAPACITY_PER_S
    words = ["--rate", str(rate), "--requests", str(int(rate * DURATION_S))]
    words += ["--hot-keys=100", "--hot-share=0.3", "--booking-share=0.2"]
    words += ["--max-in-flight=5000", "--timeout-s=10"]
    words += ["--run", f"load-{factor}"]
    for host in fleet.hosts:
        words += ["--target", fleet.public_url(host)]
    for address in fleet.addresses.values():
        words += ["--upstream", f"http://{address}"]
    return await load.measure(load.build_parser().parse_args(words))


async def measure(folder: Path) -> list[dict[str, Any]]:
    """Apply each load in turn to one deployment."""
    flags = (f"--service-ms={SERVICE_MS}", f"--slots={CONCURRENCY_PER_STAND_IN}")
    names = [host.name for host in THREE_HOSTS]
    async with BenchDeployment(folder, THREE_HOSTS, names, flags) as fleet:
        await fleet.start_all()
        await fleet.balance_slots()
        return [await run_load(fleet, factor) for factor in LOAD_FACTORS]


def rows(factor: float, result: dict[str, Any]) -> list[Measurement]:
    """Return the measurements of one load."""
    where = f"load {factor:g} x capacity"
    measures = [
        Measurement(
            f"{where}: wrong answers", result["wrong_answers"], "", WRONG_ANSWERS_BOUND
        ),
        Measurement(
            f"{where}: violations", len(result["violations"]), "", VIOLATIONS_BOUND
        ),
    ]
    for kind, found in result["classes"].items():
        total = sum(found["codes"].values())
        if not total:
            continue
        share = round_to_three_digits(found["complete"]["count"] / total)
        codes = ", ".join(f"{code}: {n}" for code, n in sorted(found["codes"].items()))
        note = f"p99 {found['complete']['p99_ms']:.0f} ms; codes {codes}"
        measures.append(
            Measurement(f"{where}: {kind}s answered", share, "", None, note)
        )
    return measures


def run() -> list[Measurement]:
    """Return violations, answered shares and status codes per load."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        results = asyncio.run(measure(Path(folder)))
    return [
        row
        for factor, result in zip(LOAD_FACTORS, results, strict=True)
        for row in rows(factor, result)
    ]
