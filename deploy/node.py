"""Starts one process of sassafraswharf on a machine of the provider."""

from __future__ import annotations

import signal
import sys

from pathlib import Path


# The settings are read again every second, also without the signal, which would end
# the process while it starts.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sassafraswharf.platform.main import main  # noqa: E402 - takes most of the start


if __name__ == "__main__":
    main()
