"""Memory and encoded size of slot tables, cell state and journal records."""

from __future__ import annotations

import sys
import time
import tracemalloc

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from sassafraswharf.cell.delta import CellDelta
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.journal.intent import Intent
from sassafraswharf.journal.intent import Record
from sassafraswharf.journal.intent import RecordState
from sassafraswharf.journal.journal_store import JournalStore
from sassafraswharf.membership.values import Session
from sassafraswharf.membership.values import SessionState
from sassafraswharf.membership.values import Upstream
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.slot_table import SlotTable
from sassafraswharf.ownership.values import SlotRun
from sassafraswharf.ownership.values import TableDelta
from sassafraswharf_bench.slopes.child import Child
from sassafraswharf_bench.slopes.child import write_json_line
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


SLOTS = (4_096, 16_384, 65_536)
ITEM_COUNTS = (200, 800, 2_400)
ANSWER_BYTES = (100, 500, 2_000)
DECODE_ROUNDS = 20
FIRST_ID = 4_000_000
RECORDS = 2_000
SERVICE = ServiceName("diary")


def slot_run(number: int) -> SlotRun:
    """Return a slot run with integers as large as in a long-lived cell."""
    return SlotRun(
        number % 65_536,
        3,
        UpstreamId(f"diary-{number:04d}"),
        SessionId(FIRST_ID + number),
        FIRST_ID + number,
        False,
        (),
    )


def upstream(number: int) -> Upstream:
    """Return the state of one upstream."""
    return Upstream(
        UpstreamId(f"diary-{number:04d}"),
        HostId(f"cairo-a-host-{number:03d}"),
        SessionId(FIRST_ID + number),
        SERVICE,
        f"10.20.30.40:{9000 + number}",
        20,
        110,
        True,
        1_764_800_000_000 + number,
        1.3,
        UpstreamState.ADMITTED,
    )


def session(number: int) -> Session:
    """Return the state of one host session."""
    address = f"10.20.{number // 250}.{number % 250}"
    return Session(
        SessionId(FIRST_ID + number),
        HostId(f"cairo-a-host-{number:03d}"),
        1_764_800_000_000 + number,
        "cairo-a",
        f"{address}:8100",
        f"{address}:8101",
        f"{address}:8103",
        f"{address}:8102",
        SessionState.OPEN,
        3,
        (SessionId(FIRST_ID), SessionId(FIRST_ID + 1)),
        3,
        (),
    )


def delta(
    runs: Iterable[SlotRun] = (),
    upstreams: Iterable[Upstream] = (),
    sessions: Iterable[Session] = (),
) -> CellDelta:
    """Return a cell delta as a router pulls it."""
    changed = TableDelta(SERVICE, FIRST_ID, FIRST_ID + 1, 65_536, tuple(runs))
    members = tuple(upstreams), tuple(sessions)
    return CellDelta(FIRST_ID, FIRST_ID + 1, (changed,), *members, (), ())


def journal_store(records: int, answer_bytes: int) -> JournalStore:
    """Return a store with answered records, each with its own key and answer."""
    store = JournalStore()
    for number in range(records):
        intent = Intent(
            SERVICE,
            number % 65_536,
            f"caller-17-{number:032x}",
            number.to_bytes(16, "big"),
            FIRST_ID + number,
            SessionId(FIRST_ID),
            number + 1,
        )
        answer = number.to_bytes(8, "big") * (answer_bytes // 8)
        store.record_intent(intent, float(number) / records).unwrap()
        outcome = Record(*intent, state=RecordState.ANSWER, answer=answer)
        store.record_outcome(outcome, float(number) / records).unwrap()
    return store


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
        for n in ITEM_COUNTS
    ]


def _wire_of(make: Callable[[int], CellDelta]) -> list[Point]:
    return [Point(n, len(msgspec.msgpack.encode(make(n)))) for n in ITEM_COUNTS]


def _decode_s() -> list[Point]:
    decoder = msgspec.msgpack.Decoder(CellDelta)
    points = []
    for n in ITEM_COUNTS:
        content = msgspec.msgpack.encode(delta(upstreams=map(upstream, range(n))))
        before = time.process_time()
        for _ in range(DECODE_ROUNDS):
            decoder.decode(content)
        points.append(Point(n, (time.process_time() - before) / DECODE_ROUNDS))
    return points


def _record_memory() -> list[Point]:
    return [
        Point(size, allocated(lambda size=size: journal_store(RECORDS, size)) / RECORDS)  # type: ignore[misc]
        for size in ANSWER_BYTES
    ]


def measure_in_process() -> dict[str, Any]:
    """Measure in this process, which must be a fresh one."""
    table = [Point(n, allocated(lambda n=n: SlotTable(SERVICE, n))) for n in SLOTS]  # type: ignore[misc]
    memory = {"upstream": _memory_of(upstream), "session": _memory_of(session)}
    wire = {
        "run": _wire_of(lambda n: delta(runs=map(slot_run, range(n)))),
        "upstream": _wire_of(lambda n: delta(upstreams=map(upstream, range(n)))),
        "session": _wire_of(lambda n: delta(sessions=map(session, range(n)))),
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
        "record_bytes": record_line.intercept,
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
    """Run the measurements in a child process and return them."""
    with Child("tables") as child:
        result: dict[str, Any] = child.read()
    return result


def main(_arguments: list[str]) -> None:
    """Report the measurements to the parent process."""
    write_json_line(measure_in_process())


if __name__ == "__main__":
    main(sys.argv[1:])
