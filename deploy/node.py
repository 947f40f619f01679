"""Starts one process of sassafraswharf on a machine of the provider."""

from __future__ import annotations

import sys

from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sassafraswharf.platform.main import main


if __name__ == "__main__":
    main()
