"""Memory and encoded size of slot tables, cell state and journal records.

``StandInTable`` has the layout that section 4.4 of the design describes:
parallel arrays, and a mapping for the few slots that have sources.
"""

from __future__ import annotations

import sys
import time
import tracemalloc

from array import array
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from sassafraswharf_bench.slopes.child import Child
from sassafraswharf_bench.slopes.child import report
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


if TYPE_CHECKING:
    from collections.abc import Callable


SLOTS = (4_096, 16_384, 65_536)
ITEMS = (200, 800, 2_400)
ANSWER_BYTES = (100, 500, 2_000)
DECODE_ROUNDS = 20
NEXT_ID = 4_000_000


class StandInTable:
    """A slot table as compact arrays."""

    def __init__(self, slot_count: int) -> None:
        self.upstreams = array("H", bytes(2 * slot_count))
        self.sessions = array("Q", bytes(8 * slot_count))
        self.epochs = array("Q", bytes(8 * slot_count))
        self.changed = array("Q", bytes(8 * slot_count))
        self.closing = bytearray(slot_count)
        self.sources: dict[int, tuple[int, ...]] = {}


class SlotRun(NamedTuple):
    """As in section 4.4."""

    start: int
    length: int
    upstream: str | None
    session: int
    epoch: int
    closing: bool
    sources: tuple[int, ...]


class Upstream(NamedTuple):
    """The announced fields of section 4.5 and the state."""

    upstream: str
    host: str
    session: int
    service: str
    address: str
    slots: int
    connections: int
    checks_grants: bool
    incarnation: int
    speed: float
    state: int


class Session(NamedTuple):
    """The fields of ``OpenSession`` in section 4.5 and the journal peers."""

    session: int
    host: str
    incarnation: int
    zone: str
    public_address: str
    internal_address: str
    lease_address: str
    control_address: str
    generation: int
    peers: tuple[int, ...]


class JournalRecord(NamedTuple):
    """The fields of ``Intent`` in section 4.9 and the outcome."""

    service: str
    slot: int
    idempotency_key: str
    body_digest: bytes
    epoch: int
    owner: int
    attempt: int
    recorded_at: float
    outcome: bytes


def slot_run(number: int) -> SlotRun:
    """Return a run with values of the size that a long-lived cell has."""
    return SlotRun(
        number % 65_536,
        3,
        f"diary-{number:04d}",
        NEXT_ID + number,
        NEXT_ID + number,
        False,
        (),
    )


def upstream(number: int) -> Upstream:
    """Return the state of one upstream."""
    return Upstream(
        f"diary-{number:04d}",
        f"cairo-a-host-{number:03d}",
        NEXT_ID + number,
        "diary",
        f"10.20.30.40:{9000 + number}",
        20,
        110,
        True,
        1_764_800_000_000 + number,
        1.3,
        1,
    )


def session(number: int) -> Session:
    """Return the state of one host session."""
    address = f"10.20.{number // 250}.{number % 250}"
    return Session(
        NEXT_ID + number,
        f"cairo-a-host-{number:03d}",
        1_764_800_000_000 + number,
        "cairo-a",
        f"{address}:8100",
        f"{address}:8101",
        f"{address}:8103",
        f"{address}:8102",
        3,
        (NEXT_ID, NEXT_ID + 1),
    )


def journal_record(number: int, answer_bytes: int) -> JournalRecord:
    """Return a record with its own key, digest and answer."""
    return JournalRecord(
        "diary",
        number % 65_536,
        f"caller-17-{number:032x}",
        number.to_bytes(32, "big"),
        NEXT_ID + number,
        NEXT_ID,
        1,
        float(number),
        number.to_bytes(8, "big") * (answer_bytes // 8),
    )


def allocated(build: Callable[[], object]) -> int:
    """Return the bytes that ``build`` leaves allocated for its result."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _memory_of(make: Callable[[int], object]) -> list[Point]:
    return [
        Point(n, allocated(lambda n=n: {i: make(i) for i in range(n)}))  # type: ignore[misc]
        for n in ITEMS
    ]


def _wire_of(make: Callable[[int], object]) -> list[Point]:
    encode = msgspec.msgpack.encode
    return [Point(n, len(encode([make(i) for i in range(n)]))) for n in ITEMS]


def _decode_s() -> list[Point]:
    decoder = msgspec.msgpack.Decoder(list[Upstream])
    points = []
    for n in ITEMS:
        content = msgspec.msgpack.encode([upstream(i) for i in range(n)])
        before = time.process_time()
        for _ in range(DECODE_ROUNDS):
            decoder.decode(content)
        points.append(Point(n, (time.process_time() - before) / DECODE_ROUNDS))
    return points


def _record_memory() -> list[Point]:
    points = []
    for size in ANSWER_BYTES:
        total = allocated(
            lambda size=size: {  # type: ignore[misc]
                record.idempotency_key: record
                for record in (journal_record(i, size) for i in range(2_000))
            }
        )
        points.append(Point(size, total / 2_000))
    return points


def collect() -> dict[str, Any]:
    """Measure in this process; run it in a fresh one."""
    table = [Point(n, allocated(lambda n=n: StandInTable(n))) for n in SLOTS]  # type: ignore[misc]
    memory = {"upstream": _memory_of(upstream), "session": _memory_of(session)}
    wire = {
        "run": _wire_of(slot_run),
        "upstream": _wire_of(upstream),
        "session": _wire_of(session),
    }
    decode, records = _decode_s(), _record_memory()
    record_line = fit(records)
    return {
        "slot_bytes": fit(table).slope,
        **{
            f"{name}_memory_bytes": fit(points).slope for name, points in memory.items()
        },
        **{f"{name}_wire_bytes": fit(points).slope for name, points in wire.items()},
        "decode_item_s": fit(decode).slope,
        "record_bytes": record_line.base,
        "record_per_answer_byte": record_line.slope,
        "points": {
            "table_bytes_by_slots": table,
            "memory_bytes_by_items": memory,
            "wire_bytes_by_items": wire,
            "decode_s_by_items": decode,
            "record_bytes_by_answer_bytes": records,
        },
    }


def measure() -> dict[str, Any]:
    """Measure in a process of its own."""
    with Child("tables") as child:
        result: dict[str, Any] = child.read()
    return result


def main(_arguments: list[str]) -> None:
    """Report the measurements."""
    report(collect())


if __name__ == "__main__":
    main(sys.argv[1:])
