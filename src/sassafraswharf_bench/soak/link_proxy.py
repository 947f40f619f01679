"""TCP proxy that can delay or block data between two processes.

It stands between a router and its upstream, or between all routers and a control host.
"""

from __future__ import annotations

import asyncio
import contextlib

from typing import Final


DELAY_S: Final = 0.3
READ_BYTES: Final = 65_536
TO_UPSTREAM: Final = "link_silence_up"
TO_ROUTER: Final = "link_silence_down"


class LinkProxy:
    """Forwards bytes in both directions; ``up`` is to the upstream or control host.

    While it is degraded by ``link_delay``, ``link_silence_up`` or
    ``link_silence_down``, bytes and ends of connections are held back; they are
    forwarded once the fault ends.
    """

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        """Prepare a link from the address of an upstream to where it listens."""
        self.address = address
        self.target = target
        self.delay_s = 0.0
        self.gates = {TO_UPSTREAM: asyncio.Event(), TO_ROUTER: asyncio.Event()}
        self.restore()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.on_connection, *self.address)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def degrade(self, kind: str) -> None:
        """Start to delay or block data."""
        if kind in self.gates:
            self.gates[kind].clear()
            return
        self.delay_s = DELAY_S

    def restore(self) -> None:
        """Forward data without delay again."""
        self.delay_s = 0.0
        for passes in self.gates.values():
            passes.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self.writers:
            writer.transport.abort()

    def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start a task that forwards a new connection."""
        task = asyncio.create_task(self.forward(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the upstream and forward bytes until either side ends."""
        writers = {writer}
        self.writers.add(writer)
        try:
            answers, requests = await asyncio.open_connection(*self.target)
            writers.add(requests)
            self.writers.add(requests)
            pumps = (
                asyncio.create_task(self.pump(reader, requests, TO_UPSTREAM)),
                asyncio.create_task(self.pump(answers, writer, TO_ROUTER)),
            )
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except OSError:
            writer.transport.abort()
        finally:
            for one in writers:
                one.close()
            self.writers -= writers

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silence: str
    ) -> None:
        """Forward one direction until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.wait_for_gate(silence)
                writer.write(data)
                await writer.drain()
            await self.wait_for_gate(silence)

    async def wait_for_gate(self, silence: str) -> None:
        """Wait until the link forwards data in a direction."""
        await asyncio.sleep(self.delay_s)
        await self.gates[silence].wait()
