from __future__ import annotations

import asyncio
import json
import random
import socket

from typing import TYPE_CHECKING

import pynng

from sassafraswharf_bench.local_deployment import LOOPBACK
from tests.processes.fleet import KEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from pathlib import Path


ANNOUNCEMENT = {
    "upstream": "forged",
    "service": KEYED,
    "address": "127.0.0.1:1",
    "slots": 1,
    "connections": 1,
    "checks_grants": True,
    "incarnation": 1,
    "speed": 1.0,
}


def request_head(target: str = "/diary/k", *lines: str, method: str = "GET") -> bytes:
    """Return the encoded head of a request with extra header lines."""
    start = (f"{method} {target} HTTP/1.1", "Host: x", "Connection: close")
    return ("\r\n".join((*start, *lines)) + "\r\n\r\n").encode("latin-1")


def announce(**change: object) -> bytes:
    body = json.dumps({**ANNOUNCEMENT, **change}).encode()
    length = f"Content-Length: {len(body)}"
    return request_head("/-/announce", length, method="POST") + body


def chunks(count: int, size: int) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (size, b"x" * size) for _ in range(count))


KEY_1, KEY_2 = "Idempotency-Key: one", "Idempotency-Key: two"
PUBLIC_INPUTS: dict[str, bytes] = {
    "no end of the head": b"GET /diary/k HTTP/1.1\r\nHost: x\r\n",
    "nothing at all": b"",
    "garbage": bytes(random.Random(1).randbytes(4_096)),
    "TLS hello": bytes.fromhex("16030100f8010000f40303") + b"\0" * 200,
    "HTTP/2 preface": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "long line": request_head("/diary/" + "k" * 20_000),
    "large header": request_head("/diary/k", "X-Large: " + "x" * 40_000),
    "many headers": request_head("/diary/k", *(f"X-{n}: x" for n in range(5_000))),
    "body above the limit": request_head(
        "/diary/k", "Content-Length: 9000000", method="POST"
    ),
    "chunked body above the limit": request_head(
        "/diary/k", "Transfer-Encoding: chunked", method="POST"
    )
    + chunks(40, 65_536),
    "two lengths": request_head("/diary/k", "Content-Length: 1", "Content-Length: 2")
    + b"ab",
    "negative length": request_head("/diary/k", "Content-Length: -1"),
    "length and chunked": request_head(
        "/diary/k", "Content-Length: 5", "Transfer-Encoding: chunked", method="POST"
    )
    + b"0\r\n\r\n",
    "two idempotency keys": request_head("/diary/k", KEY_1, KEY_2, method="POST"),
    "long idempotency key": request_head(
        "/diary/k", "Idempotency-Key: " + "i" * 300, method="POST"
    ),
    "percent at the end": request_head("/diary/k%"),
    "percent without digits": request_head("/diary/k%zz"),
    "percent without UTF-8": request_head("/diary/k%ff"),
    "encoded dots": request_head("/diary/%2e%2e"),
    "query without digits": request_head("/diary/k?id=%g1"),
    "bad deadline": request_head("/diary/k", "Sassafraswharf-Deadline-Ms: soon"),
    "unknown service": request_head("/nowhere"),
    "unknown operation": request_head("/diary/k", method="DELETE"),
    "announcement without JSON": request_head(
        "/-/announce", "Content-Length: 1", method="POST"
    )
    + b"{",
    "announcement with a wrong port": announce(address="127.0.0.1:99999"),
    "announcement without an address": announce(address="1:2:3:80"),
    "announcement of a name": announce(upstream="../x"),
}
INTERNAL_INPUTS: dict[str, bytes] = {
    "no end of the head": b"GET /diary/k HTTP/1.1\r\nHost: x\r\n",
    "garbage": bytes(random.Random(2).randbytes(4_096)),
    "no signature": request_head("/diary/k"),
    "wrong signature": request_head(
        "/diary/k", "Sassafraswharf-Auth: a b 1 2 0123456789abcdef"
    ),
    "malformed signature": request_head(
        "/diary/k", "Sassafraswharf-Auth: \xb2 \xb2 \xb2 1 1"
    ),
    "journal without signature": request_head(
        "/-/journal", "Content-Length: 4", method="POST"
    )
    + b"\x93\x01\x02\x03",
}


async def exchange(port: int, data: bytes, *, half_close: bool = False) -> bytes:
    """Send bytes and return all that comes back until the connection ends."""
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            writer.write(data)
            await writer.drain()
            if half_close:
                writer.write_eof()
            return await reader.read()
        except (ConnectionError, BrokenPipeError):
            return b""
        finally:
            writer.close()


async def send_slowly(port: int) -> bytes:
    """Send a head line by line, so that a timeout per read would never expire."""
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        answer = asyncio.create_task(reader.read())
        try:
            writer.write(b"GET /diary/k HTTP/1.1\r\n")
            while not answer.done():
                writer.write(b"X: x\r\n")
                await asyncio.wait([answer], timeout=0.2)
            return await answer
        except (ConnectionError, BrokenPipeError):
            return b""
        finally:
            answer.cancel()
            writer.close()


def find_problem(answer: bytes) -> str:
    """Return why an answer is not a 4xx with an error code, or an empty string."""
    if not answer:
        return ""
    first, _, rest = answer.partition(b"\r\n")
    fields, _, body = rest.partition(b"\r\n\r\n")
    status = first.split(b" ")[1]
    if not status.startswith(b"4"):
        return f"status {status.decode()}: {body[:200]!r}"
    if b"sassafraswharf-code: " not in fields.lower():
        return f"no code header: {answer[:200]!r}"
    return (
        ""
        if json.loads(body)["code"] >= 3001
        else f"no error code in the body: {body[:200]!r}"
    )


def format_problems(problems: dict[str, str]) -> str:
    return "\n".join(f"{name}: {text}" for name, text in problems.items() if text)


async def flood(fleet: Fleet, host: str) -> None:
    """Send garbage to the control and lease ports of a host."""
    rng = random.Random(3)
    ports = fleet.ports[host]
    lease = (LOOPBACK, ports["lease_port"])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for size in (0, 1, 20, 200, 1_200, 9_000):
            for _ in range(50):
                sender.sendto(rng.randbytes(size), lease)
    with pynng.Push0(send_buffer_size=200) as push:
        push.dial(f"tcp://{LOOPBACK}:{ports['control_port']}", block=True)
        # The last message exceeds the size limit, which closes the connection.
        for size in (*(0, 1, 20, 2_000, 100_000) * 10, 2_000_000):
            await push.asend(rng.randbytes(size))
    await exchange(ports["control_port"], rng.randbytes(5_000), half_close=True)


def test_hostile_callers_are_refused_and_the_process_serves_on(tmp_path: Path) -> None:
    """Guards against a process that exits, hangs or misreports after bad input."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, services=(KEYED,)) as fleet:
            host = "a"
            public = fleet.ports[host]["public_port"]
            internal = fleet.ports[host]["internal_port"]
            answers = await asyncio.gather(
                *(exchange(public, data) for data in PUBLIC_INPUTS.values()),
                *(exchange(internal, data) for data in INTERNAL_INPUTS.values()),
                send_slowly(public),
                send_slowly(internal),
                exchange(public, request_head()[:-2], half_close=True),
                flood(fleet, host),
            )
            names = [
                *PUBLIC_INPUTS,
                *(f"internal: {name}" for name in INTERNAL_INPUTS),
                "trickle",
                "internal: trickle",
                "half-closed head",
            ]
            found = dict(zip(names, map(find_problem, answers[:-1]), strict=True))
            whole = await exchange(public, request_head(), half_close=True)
            assert whole == b"" or b" 200 " in whole
            spoofed = {
                "sassafraswharf-epoch": "999999",
                "sassafraswharf-slot": "63",
                "SASSAFRASWHARF-REQUEST-ID": "forged",
            }
            for name in fleet.hosts:
                reply = await fleet.call(name, "GET", "/diary/k", headers=spoofed)
                assert reply.outcome is Outcome.ANSWERED, reply
                assert reply.content["request_id"] != "forged"
                assert (await fleet.call(name, "POST", "/diary/k", name)).status == 200
                assert fleet.is_running(name)
            upstreams = (await fleet.admin("upstreams"))["upstreams"]
            assert not any(found.values()), format_problems(found)
            assert {row["upstream"] for row in upstreams} == set(fleet.stand_ins)
            url = f"{fleet.admin_url(host)}/metrics"
            async with fleet.client.get(url) as response:
                metrics = await response.text()
            assert "sassafraswharf_messages_dropped" in metrics
            assert "Traceback" not in fleet.log_of(host), fleet.log_of(host)[-3000:]

    asyncio.run(scenario())
