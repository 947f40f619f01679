"""The load tool below and above the capacity of three hosts."""

from __future__ import annotations

import asyncio
import tempfile

from pathlib import Path
from typing import Any

from sassafraswharf_bench import load
from sassafraswharf_bench.bench.fleet import THREE_HOSTS
from sassafraswharf_bench.bench.fleet import Fleet
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measure
from sassafraswharf_bench.bench.measure import rounded


SLOTS = 10
SERVICE_MS = 100.0
SECONDS = 6.0
FACTORS = (0.5, 1.5)
CAPACITY = len(THREE_HOSTS) * SLOTS * 1000 / SERVICE_MS
"""Requests per second that the stand-ins can work on."""
WHOLE = Bound(0, "promise P3")
ONCE = Bound(0, "promises P4 and P5")


async def offer(fleet: Fleet, factor: float) -> dict[str, Any]:
    """Run the load tool against all hosts and return its result."""
    rate = factor * CAPACITY
    words = ["--rate", str(rate), "--requests", str(int(rate * SECONDS))]
    words += ["--hot-keys=100", "--hot-share=0.3", "--booking-share=0.2"]
    words += ["--max-in-flight=5000", "--timeout-s=10"]
    words += ["--run", f"load-{factor}"]
    for host in fleet.hosts:
        words += ["--target", fleet.public_url(host)]
    for address in fleet.addresses.values():
        words += ["--upstream", f"http://{address}"]
    return await load.measure(load.build_parser().parse_args(words))


async def measure(folder: Path) -> list[dict[str, Any]]:
    """Offer each load in turn to one deployment."""
    flags = (f"--service-ms={SERVICE_MS}", f"--slots={SLOTS}")
    names = [host.name for host in THREE_HOSTS]
    async with Fleet(folder, THREE_HOSTS, names, flags) as fleet:
        await fleet.begin()
        await fleet.spread_slots()
        return [await offer(fleet, factor) for factor in FACTORS]


def rows(factor: float, result: dict[str, Any]) -> list[Measure]:
    """Return the measures of one load."""
    where = f"load {factor:g} x capacity"
    measures = [
        Measure(f"{where}: wrong answers", result["wrong_answers"], "", WHOLE),
        Measure(f"{where}: violations", len(result["violations"]), "", ONCE),
    ]
    for kind, found in result["classes"].items():
        total = sum(found["codes"].values())
        if not total:
            continue
        share = rounded(found["complete"]["count"] / total)
        codes = ", ".join(f"{code}: {n}" for code, n in sorted(found["codes"].items()))
        note = f"p99 {found['complete']['p99_ms']:.0f} ms; codes {codes}"
        measures.append(Measure(f"{where}: {kind}s answered", share, "", None, note))
    return measures


def run() -> list[Measure]:
    """Return checks, shares and codes per load."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        results = asyncio.run(measure(Path(folder)))
    return [
        row
        for factor, result in zip(FACTORS, results, strict=True)
        for row in rows(factor, result)
    ]
