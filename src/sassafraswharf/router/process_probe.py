"""Distinguishes a process that has exited from one that has closed a connection."""

from __future__ import annotations

import asyncio

from typing import Final


CONNECT_TIMEOUT_S: Final = 0.2
PROBE_TIMEOUT_S: Final = 0.8
"""Less than the time that an interrupted request waits for the crash report."""
RECHECK_INTERVAL_S: Final = 0.02
PROBE_REQUEST: Final = (
    b"GET /-/health HTTP/1.1\r\nHost: upstream\r\nConnection: close\r\n\r\n"
)


async def has_exited(address: str) -> bool:
    """Return whether no process serves ``address`` (``ip:port``) any more.

    The kernel closes the sockets of an exiting process one after the other, the
    listening one possibly last, so an accepted connection proves nothing until an
    answer arrives on it. If a connection is closed without an answer, the probe is
    repeated until connections are refused. A process that stays silent for 0.8 s may
    be frozen and counts as running.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            while True:
                if await _responds(address):
                    return False
                await asyncio.sleep(RECHECK_INTERVAL_S)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False


async def _responds(address: str) -> bool:
    """Return whether the process answers; raise if it refuses or is unreachable."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(PROBE_REQUEST)
        return bool(await reader.read(1))
    except ConnectionError:
        return False
    finally:
        writer.close()
