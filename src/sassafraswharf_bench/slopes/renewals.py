"""Processor time of a lease renewal at the leader and at the host."""

from __future__ import annotations

import asyncio
import sys
import time

from typing import Any

from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseRenewal
from sassafraswharf.transport.messages import decode
from sassafraswharf_bench.slopes import wire
from sassafraswharf_bench.slopes.child import Child
from sassafraswharf_bench.slopes.child import serve_usage_requests
from sassafraswharf_bench.slopes.child import write_json_line
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


RENEWALS_PER_S = (10, 50, 200, 800)
DURATION_S = 2.0
SETTLE_S = 0.3


class LeaderProtocol(asyncio.DatagramProtocol):
    """Authenticates renewals, records their times and acknowledges them."""

    def __init__(self) -> None:
        self.renewed_at: dict[int, float] = {}
        self.authenticator = wire.authenticator(wire.LEADER)
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        """Keep the transport for the acknowledgements."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle one renewal."""
        envelope = wire.unseal(self.authenticator, data)
        renewal = decode(envelope.body, LeaseRenewal).unwrap()
        self.renewed_at[renewal.session] = time.clock_gettime(time.CLOCK_BOOTTIME)
        answer = wire.seal_ack(self.authenticator, envelope.sender, renewal)
        if self.transport is not None:
            self.transport.sendto(answer, address)


class HostProtocol(asyncio.DatagramProtocol):
    """Authenticates and counts acknowledgements."""

    def __init__(self) -> None:
        # The leader accepts only an incarnation newer than that of the previous run.
        self.authenticator = wire.authenticator(wire.HOST, time.time_ns())
        self.received = 0

    def datagram_received(self, data: bytes, _address: tuple[str, int]) -> None:
        """Handle one acknowledgement."""
        envelope = wire.unseal(self.authenticator, data)
        decode(envelope.body, LeaseAck).unwrap()
        self.received += 1


async def run_leader() -> None:
    """Act as the leader until standard input is closed."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        LeaderProtocol, local_addr=("127.0.0.1", 0)
    )
    write_json_line(transport.get_extra_info("sockname")[1])
    await serve_usage_requests()
    transport.close()


async def run_host(port: int, rate: float, seconds: float) -> None:
    """Send renewals at a constant rate and report the processor time."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        HostProtocol, remote_addr=("127.0.0.1", port)
    )
    count = round(rate * seconds)
    started_at, cpu_at = loop.time(), time.process_time()
    for number in range(count):
        await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
        transport.sendto(wire.seal_renewal(protocol.authenticator))
    await asyncio.sleep(SETTLE_S)
    cpu_s = time.process_time() - cpu_at
    write_json_line({"sent": count, "received": protocol.received, "cpu_s": cpu_s})
    transport.close()


def measure() -> dict[str, Any]:
    """Return seconds of processor time per renewal at both ends, and bytes.

    A renewal costs more at a low rate, because each one then wakes an idle
    process. The leader's cost is therefore the one at the highest rate, which
    is the rate of a full cell, and the host's cost the one at the lowest. The
    slopes over all rates are also returned.
    """
    leader_points, host_points, lost = [], [], 0
    with Child("renewals", "lead") as leader:
        port = leader.read()
        for rate in RENEWALS_PER_S:
            before = leader.usage()
            with Child("renewals", "renew", port, rate, DURATION_S) as host:
                result = host.read()
            leader_points.append(
                Point(rate, (leader.usage().cpu_s - before.cpu_s) / DURATION_S)
            )
            host_points.append(Point(rate, result["cpu_s"] / DURATION_S))
            lost += result["sent"] - result["received"]
    sizes = [
        (size, len(wire.seal_renewal(wire.authenticator(wire.HOST), size)))
        for size in (0, 64, 512)
    ]
    answer = wire.seal_ack(
        wire.authenticator(wire.LEADER), wire.HOST, wire.renewal(wire.SEQUENCE)
    )
    return {
        "renewal_leader_s": leader_points[-1].y / leader_points[-1].x,
        "renewal_host_s": host_points[0].y / host_points[0].x,
        "renewal_leader_slope_s": fit(leader_points).slope,
        "renewal_host_slope_s": fit(host_points).slope,
        "renewal_bytes": dict(sizes)[wire.LOAD_BYTES],
        "ack_bytes": len(answer),
        "points": {
            "leader_cpu_s_per_s": leader_points,
            "host_cpu_s_per_s": host_points,
            "renewal_bytes_by_load_bytes": sizes,
            "lost": lost,
        },
    }


def main(arguments: list[str]) -> None:
    """Run one end of the measured exchange."""
    if arguments[0] == "lead":
        asyncio.run(run_leader())
        return
    port, rate, seconds = arguments[1:]
    asyncio.run(run_host(int(port), float(rate), float(seconds)))


if __name__ == "__main__":
    main(sys.argv[1:])
