"""Processor time of a pynng Push0/Pull0 message at both ends."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time

from typing import Any

import pynng

from sassafraswharf_bench.slopes import wire
from sassafraswharf_bench.slopes.child import Child
from sassafraswharf_bench.slopes.child import serve_usage_requests
from sassafraswharf_bench.slopes.child import write_json_line
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


MESSAGES_PER_S = (20, 100, 400)
DURATION_S = 2.0
SETTLE_S = 0.3


async def receive() -> None:
    """Receive and authenticate messages until standard input is closed."""
    with pynng.Pull0() as socket:
        socket.listen("tcp://127.0.0.1:0")
        write_json_line(str(socket.listeners[0].local_address))
        task = asyncio.create_task(_receive_all(socket))
        await serve_usage_requests()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _receive_all(socket: Any) -> None:  # noqa: ANN401
    authenticator = wire.authenticator(wire.LEADER)
    while True:
        wire.unseal(authenticator, await socket.arecv())


async def send(address: str, rate: float, seconds: float) -> None:
    """Send messages at a constant rate and report the processor time."""
    loop = asyncio.get_running_loop()
    with pynng.Push0() as socket:
        socket.dial(f"tcp://{address}", block=True)
        authenticator = wire.authenticator(wire.HOST, time.time_ns())
        count = round(rate * seconds)
        started_at, cpu_at = loop.time(), time.process_time()
        for number in range(count):
            await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
            await socket.asend(wire.seal_renewal(authenticator))
        await asyncio.sleep(SETTLE_S)
        write_json_line({"cpu_s": time.process_time() - cpu_at})


def measure() -> dict[str, Any]:
    """Return seconds of processor time per message at both ends.

    The costs are taken at the middle rate, about that of a control host with
    three groups. The slopes are also returned.
    """
    received, sent = [], []
    with Child("mailboxes", "receive") as receiver:
        address = receiver.read()
        for rate in MESSAGES_PER_S:
            before = receiver.usage()
            with Child("mailboxes", "send", address, rate, DURATION_S) as sender:
                sent.append(Point(rate, sender.read()["cpu_s"] / DURATION_S))
            after = receiver.usage()
            received.append(Point(rate, (after.cpu_s - before.cpu_s) / DURATION_S))
    return {
        "message_send_s": sent[1].y / sent[1].x,
        "message_receive_s": received[1].y / received[1].x,
        "message_send_slope_s": fit(sent).slope,
        "message_receive_slope_s": fit(received).slope,
        "points": {"send_cpu_s_per_s": sent, "receive_cpu_s_per_s": received},
    }


def main(arguments: list[str]) -> None:
    """Run one end of the measured exchange."""
    if arguments[0] == "receive":
        asyncio.run(receive())
        return
    asyncio.run(send(arguments[1], float(arguments[2]), float(arguments[3])))


if __name__ == "__main__":
    main(sys.argv[1:])
