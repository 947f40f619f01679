"""Runs the daemon and counts the control bytes that it sends and receives.

Bytes are counted in the authenticator, through which all UDP datagrams and
pynng messages pass: payload and envelope, without the headers of IP, UDP or
TCP. Each ``SIGUSR1`` appends both totals to ``<settings>.bytes`` as a JSON line.
"""

from __future__ import annotations

import json
import signal
import sys

from pathlib import Path
from typing import Any

from result import Ok

from sassafraswharf.daemon.main import main as daemon_main
from sassafraswharf.transport.authenticator import Authenticator


BYTE_COUNTS = {"sent": 0, "received": 0}


def instrument_authenticator() -> None:
    """Patch ``Authenticator`` to count sealed and opened bytes in this process."""
    seal, open_ = Authenticator.seal, Authenticator.open

    def counted_seal(self: Authenticator, *arguments: Any) -> Any:  # noqa: ANN401
        sealed = seal(self, *arguments)
        if isinstance(sealed, Ok):
            BYTE_COUNTS["sent"] += len(sealed.ok_value)
        return sealed

    def counted_open(self: Authenticator, channel: Any, data: bytes) -> Any:  # noqa: ANN401
        BYTE_COUNTS["received"] += len(data)
        return open_(self, channel, data)

    setattr(Authenticator, "seal", counted_seal)  # noqa: B010
    setattr(Authenticator, "open", counted_open)  # noqa: B010


def main() -> None:
    """Run the daemon with byte counting."""
    instrument_authenticator()
    path = Path(f"{sys.argv[1]}.bytes")
    path.touch()

    def write(_number: int, _frame: object) -> None:
        with path.open("a") as file:
            file.write(json.dumps(BYTE_COUNTS) + "\n")

    signal.signal(signal.SIGUSR1, write)
    daemon_main()


if __name__ == "__main__":
    main()
