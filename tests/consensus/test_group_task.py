from __future__ import annotations

import asyncio
import errno
import random
import shutil

from functools import wraps
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from result import Ok

from sassafraswharf.clock import BootClock
from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus import group_task
from sassafraswharf.consensus import messages
from sassafraswharf.consensus.group_task import GroupTask
from sassafraswharf.consensus.storage import ReplicaStorage
from sassafraswharf.consensus.timing import ReplicaTiming
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from pathlib import Path


NAMES = tuple(map(ReplicaId, "abc"))
TIMEOUT_S = 20.0


def asynchronous(
    test: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    @wraps(test)
    def run(**arguments: Any) -> None:
        asyncio.run(test(**arguments))

    return run


class ListMachine:
    """Stores all commands and answers with their count."""

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

    def __init__(self, folder: Path, *groups: str) -> None:
        self.folder = folder
        self.groups = groups
        self.tasks: dict[tuple[str, str], GroupTask] = {}

    def create(
        self, group: str, name: ReplicaId, names: tuple[ReplicaId, ...] = NAMES
    ) -> GroupTask:
        def send(target: ReplicaId, message: messages.ConsensusMessage) -> None:
            data = messages.encode_message(message)
            assert len(data) < 1_048_576 - 4_096
            peer = self.tasks.get((group, host_name(target)))
            if peer:
                decoded = messages.decode_message(data).unwrap()
                asyncio.get_running_loop().call_soon(peer.deliver, name, decoded)

        task = GroupTask(
            GroupId(group),
            name,
            ListMachine(),
            self.folder / group / name,
            names,
            send,
            BootClock(),
            random.Random(f"{group}{name}"),
            ReplicaTiming(),
        )
        self.tasks[group, name] = task
        return task

    async def start(self, names: tuple[ReplicaId, ...] = NAMES) -> None:
        for group in self.groups:
            for name in names:
                await self.create(group, name, names).start()

    async def stop(self) -> None:
        for key in sorted(self.tasks):
            await self.tasks.pop(key).stop()

    def members(self, group: str) -> list[GroupTask]:
        return [task for (of, _), task in self.tasks.items() if of == group]

    async def leader(self, group: str = "g") -> GroupTask:
        await until(lambda: any(one.is_current_leader() for one in self.members(group)))
        return next(one for one in self.members(group) if one.is_current_leader())

    async def propose(self, group: str, *commands: bytes) -> None:
        for command in commands:
            leader = await self.leader(group)
            (await leader.propose(command, TIMEOUT_S)).unwrap()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def commands_of(task: GroupTask) -> list[bytes]:
    assert isinstance(task.state_machine, ListMachine)
    return task.state_machine.commands


@asynchronous
async def test_three_groups_restart_from_their_files(tmp_path: Path) -> None:
    """Guards against acknowledged commands that don't survive a restart."""
    groups = ("configuration", "cell-1", "cell-2")
    expected = {group: [f"{group}-{n}".encode() for n in range(20)] for group in groups}
    for done, end in ((0, 10), (10, 20)):
        hosts = Hosts(tmp_path, *groups)
        await hosts.start()
        await asyncio.gather(
            *(hosts.propose(group, *expected[group][done:end]) for group in groups)
        )
        await until(
            lambda hosts=hosts, end=end: all(  # type: ignore[misc]
                commands_of(task) == expected[task.group][:end]
                for task in hosts.tasks.values()
            )
        )
        await hosts.stop()


@asynchronous
async def test_sole_voter(tmp_path: Path) -> None:
    """Guards against a one-host deployment that waits for peers."""
    for first in (1, 6):
        hosts = Hosts(tmp_path, "g")
        await hosts.start(NAMES[:1])
        leader = await hosts.leader()
        outcomes = await asyncio.gather(
            *(leader.propose(b"x", TIMEOUT_S) for _ in range(5))
        )
        assert outcomes == [Ok(str(first + n).encode()) for n in range(5)]
        await hosts.stop()


@asynchronous
async def test_planned_stop_transfers_leadership(tmp_path: Path) -> None:
    """Guards against a graceful stop that costs an election timeout."""
    hosts = Hosts(tmp_path, "g")
    await hosts.start()
    old = await hosts.leader()
    term = old.term
    await hosts.tasks.pop(("g", old.name)).stop()
    # The transfer skips pre-vote and timeout, so the new term exists already.
    assert any(one.term == term + 1 for one in hosts.members("g"))
    await hosts.propose("g", b"after")
    assert (await hosts.leader()).term == term + 1
    await hosts.stop()


@asynchronous
async def test_lost_disk_is_replaced_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a repair that loses data or keeps the lost replica's identity."""
    monkeypatch.setattr(group_task, "SNAPSHOT_INTERVAL_ENTRIES", 50)
    hosts = Hosts(tmp_path, "g")
    await hosts.start()
    commands = [bytes([n]) * 20_000 for n in range(120)]
    await hosts.propose("g", *commands)
    for name in "cb":
        lost = hosts.tasks["g", name]
        await lost.stop()
        shutil.rmtree(tmp_path / "g" / name)
        new = hosts.create("g", ReplicaId(name))
        await new.start()
        await until(lambda new=new: new.identity in new.voters.voters)  # type: ignore[misc]
        assert lost.identity not in new.voters.members
        assert len(new.voters.voters) == 3
        await until(lambda new=new: commands_of(new) == commands)  # type: ignore[misc]
    await hosts.propose("g", b"after")
    await hosts.stop()


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS])
@asynchronous
async def test_failed_disk_makes_the_leader_step_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Guards against a replica that acknowledges what it could not sync."""
    hosts = Hosts(tmp_path, "g")
    await hosts.start()
    old = await hosts.leader()
    perform = ReplicaStorage.perform

    def fail(self: ReplicaStorage, actions: Any) -> None:
        if self.name == old.name:
            raise OSError(number, "injected")
        perform(self, actions)

    monkeypatch.setattr(ReplicaStorage, "perform", fail)
    await old.propose(b"x", TIMEOUT_S)
    await until(lambda: old.failure is not None)
    outcome = await old.propose(b"y", TIMEOUT_S)
    assert outcome.unwrap_err().code is ResultCode.STORAGE_FAILED
    assert not old.is_leader
    await hosts.propose("g", b"z")
    assert commands_of(await hosts.leader())[-1] == b"z"
    await hosts.stop()


@pytest.mark.parametrize("role", ["leader", "follower"])
@asynchronous
async def test_replica_returns_when_its_disk_takes_writes_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, role: str
) -> None:
    """Guards against a full disk that costs the group a voter until a restart.

    A later loss of another voter, which is tolerated, would stop the group.
    """
    hosts = Hosts(tmp_path, "g")
    await hosts.start()
    leader = await hosts.leader()
    full = next(
        one for one in hosts.members("g") if (one is leader) == (role == "leader")
    )
    perform = ReplicaStorage.perform
    is_full = True

    def fail(self: ReplicaStorage, actions: Any) -> None:
        if is_full and self.name == full.name:
            raise OSError(errno.ENOSPC, "injected")
        perform(self, actions)

    monkeypatch.setattr(ReplicaStorage, "perform", fail)
    await leader.propose(b"x", TIMEOUT_S)
    await until(lambda: full.failure is not None)
    await hosts.propose("g", b"y")
    is_full = False
    other = next(one for one in hosts.members("g") if one is not full)
    await hosts.tasks.pop(("g", other.name)).stop()
    await hosts.propose("g", b"z")
    await until(lambda: commands_of(full)[-1] == b"z")
    assert commands_of(full) == commands_of(await hosts.leader())
    await hosts.stop()
