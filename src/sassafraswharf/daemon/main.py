"""Entry point of the daemon ``sassafraswharfd``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

from pathlib import Path
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from sassafraswharf.daemon.garbage_collection import tune_garbage_collection
from sassafraswharf.daemon.process import Process
from sassafraswharf.exceptions import SassafraswharfError
from sassafraswharf.observability.json_log import configure_logging
from sassafraswharf.settings.loader import load_settings


if TYPE_CHECKING:
    from sassafraswharf.settings.schema import Settings


EXIT_SETTINGS_REFUSED = 2
EXIT_START_FAILED = 3


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT.

    The exit status is 0 after a planned stop, 2 when the settings are refused
    and 3 when a socket or a file can't be opened.
    """
    parser = argparse.ArgumentParser(
        prog="sassafraswharfd",
        description="Run the parts of sassafraswharf that the settings select.",
    )
    parser.add_argument("settings", type=Path, help="settings in JSON with comments")
    arguments = parser.parse_args()
    loaded = load_settings(arguments.settings)
    if isinstance(loaded, Err):
        sys.stderr.write(f"sassafraswharfd: {loaded.err_value}\n")
        sys.exit(EXIT_SETTINGS_REFUSED)
    settings = loaded.ok_value
    configure_logging(settings["host"], settings["log_level"])
    sys.exit(asyncio.run(run(settings)))


async def run(settings: Settings) -> int:
    """Run the process until a stop signal; return the exit status."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    process = Process(settings)
    try:
        await process.start()
    except SassafraswharfError as error:
        logging.error("start failed: %s", error)
        await process.stop()
        return EXIT_START_FAILED
    tune_garbage_collection()
    logging.info("%s is running", settings["host"])
    await stop.wait()
    logging.info("%s is stopping", settings["host"])
    await process.stop()
    logging.info("%s has stopped", settings["host"])
    return 0


if __name__ == "__main__":
    main()
