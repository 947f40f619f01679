"""Measure log appends per second: group commit against one sync per entry."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from sassafraswharf.clock import BootClock
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.group_task import GroupTask
from sassafraswharf.consensus.log_file import LogFile
from sassafraswharf.consensus.timing import ReplicaTiming
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.consensus.messages import ConsensusMessage


COMMAND_BYTES = 200
PROPOSAL_TIMEOUT_S = 30.0


class LogAppendResult(TypedDict):
    """Rates are entries per second; the rounds of both kinds alternate."""

    entries: int
    entry_bytes: int
    batch: int
    rounds: int
    sync_per_entry: list[float]
    group_commit: list[float]
    group_task: list[float]


class NullStateMachine:
    """A state machine without state."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Return nothing."""
        del index, command
        return b""

    def snapshot(self) -> bytes:
        """Return nothing."""
        return b""

    def restore(self, snapshot: bytes) -> None:
        """Ignore the snapshot."""


def append_rate(folder: Path, count: int, batch: int) -> float:
    """Return entries per second with one sync for each ``batch`` entries."""
    path = folder / "log"
    path.write_bytes(b"")
    log = LogFile(path)
    entries = [
        Entry(index, 1, EntryKind.COMMAND, bytes(COMMAND_BYTES))
        for index in range(1, count + 1)
    ]
    started_at = time.perf_counter()
    for start in range(0, count, batch):
        log.append(entries[start : start + batch])
        log.sync()
    elapsed_s = time.perf_counter() - started_at
    log.close()
    return count / elapsed_s


def discard(target: ReplicaId, message: ConsensusMessage) -> None:
    """Send nothing; the group has one voter."""
    del target, message


async def group_task_rate(folder: Path, count: int, batch: int) -> float:
    """Return acknowledged proposals per second of ``batch`` concurrent callers."""
    name = ReplicaId("bench")
    task = GroupTask(
        GroupId("bench"),
        name,
        NullStateMachine(),
        folder,
        [name],
        discard,
        BootClock(),
        random.Random(1),
        ReplicaTiming(),
    )
    became_leader = asyncio.Event()
    task.on_role_change = lambda _is_leader, _term: became_leader.set()
    await task.start()
    await became_leader.wait()

    async def caller() -> None:
        for _ in range(count // batch):
            outcome = await task.propose(bytes(COMMAND_BYTES), PROPOSAL_TIMEOUT_S)
            outcome.unwrap()

    started_at = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(batch)))
    elapsed_s = time.perf_counter() - started_at
    await task.stop()
    return count // batch * batch / elapsed_s


def measure(
    parent: Path | None, count: int, batch: int, rounds: int
) -> LogAppendResult:
    """Measure all kinds in turn, in a temporary folder below ``parent``."""
    result = LogAppendResult(
        entries=count,
        entry_bytes=COMMAND_BYTES,
        batch=batch,
        rounds=rounds,
        sync_per_entry=[],
        group_commit=[],
        group_task=[],
    )
    for _ in range(rounds):
        with tempfile.TemporaryDirectory(dir=parent) as name:
            folder = Path(name)
            result["sync_per_entry"].append(round(append_rate(folder, count, 1)))
            result["group_commit"].append(round(append_rate(folder, count, batch)))
            rate = asyncio.run(group_task_rate(folder / "group", count, batch))
            result["group_task"].append(round(rate))
    return result


def main(arguments: Sequence[str] | None = None) -> None:
    """Print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, help="parent of the temporary folder")
    parser.add_argument("--entries", type=int, default=4_096)
    parser.add_argument("--batch", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args(arguments)
    result = measure(options.folder, options.entries, options.batch, options.rounds)
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


if __name__ == "__main__":
    main()
