from __future__ import annotations

import asyncio
import errno
import random
import shutil

from typing import TYPE_CHECKING

import msgspec
import pytest

from result import Err
from result import Ok

from sassafraswharf.clock import BootClock
from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus import group_task
from sassafraswharf.consensus.core import ReplicaTiming
from sassafraswharf.consensus.group_task import GroupTask
from sassafraswharf.consensus.messages import ConsensusMessage
from sassafraswharf.consensus.messages import decode_message
from sassafraswharf.consensus.messages import encode_message
from sassafraswharf.consensus.storage import ReplicaStorage
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from pathlib import Path


NAMES = tuple(map(ReplicaId, "abc"))
TIMEOUT_S = 20.0


class ListMachine:
    """Remembers all commands; the answer is their number."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        assert index > 0
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore(self, snapshot: bytes) -> None:
        self.commands = msgspec.msgpack.decode(snapshot, type=list[bytes])


class Hosts:
    """Several groups on the same hosts, connected by encoded messages."""

    def __init__(
        self, folder: Path, names: tuple[ReplicaId, ...], groups: Iterable[str]
    ) -> None:
        self.folder = folder
        self.names = names
        self.groups = tuple(groups)
        self.tasks: dict[tuple[str, str], GroupTask] = {}
        self.election_timeouts = 0

    def create(self, group: str, name: ReplicaId) -> GroupTask:
        def send(target: ReplicaId, message: ConsensusMessage) -> None:
            data = encode_message(message)
            assert len(data) < 1_048_576 - 4_096
            decoded = decode_message(data)
            assert decoded == Ok(message)
            peer = self.tasks.get((group, host_name(target)))
            if peer:
                asyncio.get_running_loop().call_soon(peer.deliver, name, message)

        task = GroupTask(
            GroupId(group),
            name,
            ListMachine(),
            self.folder / group / name,
            self.names,
            send,
            BootClock(),
            random.Random(f"{group}{name}"),
            ReplicaTiming(),
        )
        self.tasks[group, name] = task
        return task

    async def start(self) -> None:
        for group in self.groups:
            for name in self.names:
                await self.create(group, name).start()

    async def stop(self) -> None:
        for key, task in sorted(self.tasks.items()):
            await task.stop()
            del self.tasks[key]

    def members(self, group: str) -> list[GroupTask]:
        return [task for (of, _), task in self.tasks.items() if of == group]

    async def leader(self, group: str) -> GroupTask:
        await until(lambda: any(one.is_current_leader() for one in self.members(group)))
        return next(one for one in self.members(group) if one.is_current_leader())

    async def propose(self, group: str, *commands: bytes) -> None:
        """Propose until each command is acknowledged."""
        for command in commands:
            leader = await self.leader(group)
            outcome = await leader.propose(command, TIMEOUT_S)
            assert outcome.is_ok(), outcome


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def commands_of(task: GroupTask) -> list[bytes]:
    assert isinstance(task.machine, ListMachine)
    return task.machine.commands


def test_three_groups_restart_from_their_files(tmp_path: Path) -> None:
    """Guards against acknowledged commands that don't survive a restart."""

    async def scenario() -> None:
        groups = ["configuration", "cell-1", "cell-2"]
        expected = {
            group: [f"{group}-{n}".encode() for n in range(20)] for group in groups
        }
        for part in (slice(0, 10), slice(10, 20)):
            hosts = Hosts(tmp_path, NAMES, groups)
            await hosts.start()
            await asyncio.gather(
                *(hosts.propose(group, *expected[group][part]) for group in groups)
            )
            for group in groups:
                for task in hosts.members(group):
                    now = expected[group][: part.stop]
                    await until(lambda t=task, n=now: commands_of(t) == n)  # type: ignore[misc]
            await hosts.stop()

    asyncio.run(scenario())


def test_sole_voter(tmp_path: Path) -> None:
    """Guards against a one-host deployment that waits for peers."""

    async def scenario() -> None:
        for round_number in range(2):
            hosts = Hosts(tmp_path, NAMES[:1], ["g"])
            await hosts.start()
            leader = await hosts.leader("g")
            outcomes = await asyncio.gather(
                *(leader.propose(b"x", TIMEOUT_S) for _ in range(5))
            )
            first = 5 * round_number + 1
            assert outcomes == [Ok(str(first + n).encode()) for n in range(5)]
            await hosts.stop()

    asyncio.run(scenario())


def test_planned_stop_transfers_leadership(tmp_path: Path) -> None:
    """Guards against a graceful stop that costs an election timeout."""

    async def scenario() -> None:
        hosts = Hosts(tmp_path, NAMES, ["g"])
        await hosts.start()
        old = await hosts.leader("g")
        term = old.term
        await old.stop()
        del hosts.tasks["g", old.name]
        # The transfer skips the pre-vote, so the new term exists already.
        assert any(one.term == term + 1 for one in hosts.members("g"))
        await hosts.propose("g", b"after")
        assert (await hosts.leader("g")).term == term + 1
        await hosts.stop()

    asyncio.run(scenario())


def test_lost_disk_is_replaced_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a repair that loses data or keeps the lost identity."""
    monkeypatch.setattr(group_task, "SNAPSHOT_ENTRIES", 50)

    async def scenario() -> None:
        hosts = Hosts(tmp_path, NAMES, ["g"])
        await hosts.start()
        commands = [bytes([n]) * 20_000 for n in range(120)]
        await hosts.propose("g", *commands)
        for name in "cb":
            lost = hosts.tasks["g", name]
            identity = lost.identity
            await lost.stop()
            shutil.rmtree(tmp_path / "g" / name)
            fresh = hosts.create("g", ReplicaId(name))
            await fresh.start()
            await until(lambda f=fresh: f.identity in f.voters.voters)  # type: ignore[misc]
            assert identity not in fresh.voters.members
            assert len(fresh.voters.voters) == 3
            await until(lambda f=fresh: commands_of(f) == commands)  # type: ignore[misc]
        await hosts.propose("g", b"after")
        await hosts.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS])
def test_failed_disk_makes_the_leader_step_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Guards against a replica that acknowledges what it could not sync."""

    async def scenario() -> None:
        hosts = Hosts(tmp_path, NAMES, ["g"])
        await hosts.start()
        old = await hosts.leader("g")
        perform = ReplicaStorage.perform

        def fail(self: ReplicaStorage, actions: list[object]) -> None:
            if self.name == old.name:
                raise OSError(number, "injected")
            perform(self, actions)  # type: ignore[arg-type]

        monkeypatch.setattr(ReplicaStorage, "perform", fail)
        await old.propose(b"x", TIMEOUT_S)
        await until(lambda: old.failure is not None)
        outcome = await old.propose(b"y", TIMEOUT_S)
        assert isinstance(outcome, Err)
        assert outcome.err_value.code is ResultCode.STORAGE_FAILED
        assert not old.is_leader
        await hosts.propose("g", b"z")
        assert commands_of(await hosts.leader("g"))[-1] == b"z"
        await hosts.stop()

    asyncio.run(scenario())
