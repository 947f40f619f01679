"""Starts one router or control process on a machine of the provider."""

from __future__ import annotations

import signal
import sys

from pathlib import Path


# An unhandled SIGHUP would end the process during start-up. It isn't needed: the
# settings file is polled every second.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sassafraswharf.platform.main import main  # noqa: E402 - takes most of the start


if __name__ == "__main__":
    main()
